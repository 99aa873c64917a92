/**
 * Simulated demand of a deployment's services. The services burst in turn, for some seconds and to five times their
 * mean, which is more than their pools can serve; between bursts, demand falls to a twentieth of the mean.
 */
import type * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import type * as decisionRandom from "./decision-random.js";

/** Parameters of the demand. */
export interface BurstShape {
    /** Mean utilization of a pool's slots. */
    readonly meanUtilization: number;
    /** Demand in a burst, as a multiple of the mean. */
    readonly burstFactor: number;
    /** Demand between bursts, as a multiple of the mean. */
    readonly idleFactor: number;
    /** Minimum and maximum duration of a burst in ms. */
    readonly burstMs: readonly [number, number];
    /** Minimum and maximum pause between two bursts in ms. */
    readonly pauseMs: readonly [number, number];
    /** Constant utilization of the first service in place of bursts; above 1, it exceeds the pool's capacity. */
    readonly sustainedUtilization?: number;
}

/** Bursts as the requirements specify them. */
export const specifiedBursts: BurstShape = {
    meanUtilization: 0.4,
    burstFactor: 5,
    idleFactor: 1 / 20,
    burstMs: [4000, 15_000],
    pauseMs: [2000, 20_000],
};

/** The specified bursts, except that the first service constantly needs 1.4 times the capacity of its pool. */
export const sustainedLoad: BurstShape = { ...specifiedBursts, sustainedUtilization: 1.4 };

/** Generates the demand of all services from a seeded random source. */
export class DecisionDemand {
    readonly #deployment: schema.settings.Deployment;
    readonly #shape: BurstShape;
    readonly #random: decisionRandom.Random;
    #burstingIndex = 0;
    #burstEndsAt = 0;
    #nextBurstAt = 0;

    constructor(deployment: schema.settings.Deployment, shape: BurstShape, random: decisionRandom.Random) {
        this.#deployment = deployment;
        this.#shape = shape;
        this.#random = random;
    }

    /** Returns a sample for each service. */
    sample(now: number): planner.Demand[] {
        this.#advance(now);
        return this.#deployment.services.map((service, index) => {
            const slots = service.workers * this.#deployment.worker.slots;
            const isBursting = index === this.#burstingIndex && now < this.#burstEndsAt;
            const needed = slots * this.#computeUtilization(index, isBursting);
            return {
                service: service.name,
                busySlots: Math.min(slots, needed),
                queued: Math.max(0, needed - slots),
                observedAt: now,
            };
        });
    }

    #computeUtilization(index: number, isBursting: boolean): number {
        const { meanUtilization, burstFactor, idleFactor, sustainedUtilization } = this.#shape;
        if (index === 0 && sustainedUtilization !== undefined) {
            return sustainedUtilization;
        }
        return meanUtilization * (isBursting ? burstFactor : idleFactor);
    }

    #advance(now: number): void {
        if (now < this.#nextBurstAt) {
            return;
        }
        this.#burstingIndex = (this.#burstingIndex + 1) % this.#deployment.services.length;
        this.#burstEndsAt = now + this.#random.between(...this.#shape.burstMs);
        this.#nextBurstAt = this.#burstEndsAt + this.#random.between(...this.#shape.pauseMs);
    }
}
