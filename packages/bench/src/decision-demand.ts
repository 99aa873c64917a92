/**
 * Demand of a deployment's services: each queue in turn bursts to five times its mean for some seconds, more than its
 * pool holds, and falls to a twentieth of its mean between bursts.
 */
import type * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import type * as decisionRandom from "./decision-random.js";

/** Shape of the bursts. */
export interface BurstShape {
    /** Mean use of a pool's slots. */
    readonly meanUse: number;
    readonly burstFactor: number;
    readonly idleFactor: number;
    /** Length of a burst in ms, from and to. */
    readonly burstMs: readonly [number, number];
    /** Pause between the bursts of two services in ms, from and to. */
    readonly pauseMs: readonly [number, number];
    /** Use of the first service's slots when it lasts instead of bursting; above 1 for more than its pool holds. */
    readonly sustainedUse?: number;
}

/** The shape that the brief names. */
export const briefBursts: BurstShape = {
    meanUse: 0.4,
    burstFactor: 5,
    idleFactor: 1 / 20,
    burstMs: [4000, 15_000],
    pauseMs: [2000, 20_000],
};

/** The same, but for the first service, which needs nearly half as much again as its pool holds all the time. */
export const sustainedLoad: BurstShape = { ...briefBursts, sustainedUse: 1.4 };

/** Seeded demand of all services. */
export class DecisionDemand {
    readonly #deployment: schema.settings.Deployment;
    readonly #shape: BurstShape;
    readonly #random: decisionRandom.Random;
    #turn = 0;
    #burstEndsAt = 0;
    #nextBurstAt = 0;

    constructor(deployment: schema.settings.Deployment, shape: BurstShape, random: decisionRandom.Random) {
        this.#deployment = deployment;
        this.#shape = shape;
        this.#random = random;
    }

    /** One sample for each service. */
    sample(now: number): planner.Demand[] {
        this.#advance(now);
        return this.#deployment.services.map((service, index) => {
            const slots = service.workers * this.#deployment.worker.slots;
            const bursts = index === this.#turn && now < this.#burstEndsAt;
            const needed = slots * this.#findUse(index, bursts);
            return {
                service: service.name,
                busySlots: Math.min(slots, needed),
                queued: Math.max(0, needed - slots),
                observedAt: now,
            };
        });
    }

    #findUse(index: number, bursts: boolean): number {
        const { meanUse, burstFactor, idleFactor, sustainedUse } = this.#shape;
        if (index === 0 && sustainedUse !== undefined) {
            return sustainedUse;
        }
        return meanUse * (bursts ? burstFactor : idleFactor);
    }

    #advance(now: number): void {
        if (now < this.#nextBurstAt) {
            return;
        }
        this.#turn = (this.#turn + 1) % this.#deployment.services.length;
        this.#burstEndsAt = now + this.#random.between(...this.#shape.burstMs);
        this.#nextBurstAt = this.#burstEndsAt + this.#random.between(...this.#shape.pauseMs);
    }
}
