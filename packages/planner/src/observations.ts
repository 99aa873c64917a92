/**
 * Tracks since when instances have not been live, have been down or stopped, and since when pools have been above or
 * below their planned size.
 *
 * These times are not in the log. A new coordinator starts without them, so that all waiting times start over.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";

/** The observed state of the fleet at one moment. */
export interface Observation {
    readonly state: fleetState.FleetState;
    /** Membership list from the newest read. */
    readonly members: readonly schema.platform.Member[];
    /** Instances that fail requests or are ejected at present. */
    readonly unhealthy: ReadonlySet<string>;
    /** The platform's newest answer about each reboot, by drain id. */
    readonly reboots: ReadonlyMap<string, schema.platform.RebootAnswer>;
}

interface ConfirmedBoot {
    /** Number of the boot, which rises with each boot of the machine. */
    readonly boot: number;
    readonly confirmedAt: number;
}

/** Time for which a finished reboot takes precedence over a membership list that still shows an earlier boot, in ms. */
const confirmedBootValidMs = 60_000;
/** Weight of a new observation in the moving averages of durations. */
const gain = 0.3;
const initialMoveMs = 10_000;
/**
 * Settling time of a returned instance before it counts as available: a share of the average reboot duration, limited
 * to a maximum in ms.
 */
const maxSettleMs = 10_000;
const settleShare = 0.02;

/** History of the observed states, updated before each plan. */
export class Observations {
    #members = new Map<string, schema.platform.Member>();
    #unhealthy: ReadonlySet<string> = new Set();
    readonly #notLiveSince = new Map<string, number>();
    readonly #lostSince = new Map<string, number>();
    readonly #stoppedSince = new Map<string, number>();
    readonly #returnedAt = new Map<string, number>();
    readonly #shortSince = new Map<string, number>();
    readonly #surplusSince = new Map<string, number>();
    readonly #confirmedBoots = new Map<string, ConfirmedBoot>();
    readonly #moveStarts = new Map<string, number>();
    #averageMoveMs = initialMoveMs;
    #averageRebootMs: number | undefined;

    /** Updates the history with the present state; called before each plan. */
    observe(observation: Observation, now: number): void {
        this.#members = new Map(observation.members.map(member => [member.name, member]));
        this.#unhealthy = observation.unhealthy;
        this.#updateConfirmedBoots(observation, now);
        this.#updateInstances(observation.state, now);
        this.#updatePools(observation.state, now);
        this.#updateMoves(observation.state, now);
    }

    /** The instance's entry in the membership list. */
    findMember(name: string): schema.platform.Member | undefined {
        return this.#members.get(name);
    }

    /** Whether the instance runs: it is listed as live, or the platform confirmed a newer boot than the listed one. */
    isLive(name: string, now: number): boolean {
        const member = this.#members.get(name);
        if (member === undefined || member.state === "live") {
            return member !== undefined;
        }
        const confirmed = this.#confirmedBoots.get(name);
        return confirmed !== undefined && member.boot < confirmed.boot
            && now - confirmed.confirmedAt <= confirmedBootValidMs;
    }

    /** Whether the instance is not live, or fails requests or is ejected. An active instance that is down is lost. */
    isDown(name: string, now: number): boolean {
        return this.#unhealthy.has(name) || !this.isLive(name, now);
    }

    /** Whether the instance returned from a reboot so recently that a fault might not have been detected yet. */
    isSettling(name: string, now: number): boolean {
        const settleMs = Math.min(maxSettleMs, (this.#averageRebootMs ?? 0) * settleShare);
        return now - (this.#returnedAt.get(name) ?? Number.NEGATIVE_INFINITY) < settleMs;
    }

    /** Clock time in ms since which the instance has not been live; undefined while it is live. */
    getNotLiveSince(name: string): number | undefined {
        return this.#notLiveSince.get(name);
    }

    /** Whether the active instance has been lost for at least `forMs`. */
    isLostFor(name: string, forMs: number, now: number): boolean {
        const since = this.#lostSince.get(name);
        return since !== undefined && now - since >= forMs;
    }

    /** Clock time in ms since which the instance has been stopped for a reboot. */
    getStoppedSince(name: string): number | undefined {
        return this.#stoppedSince.get(name);
    }

    /** Whether the pool has been below its planned size for at least `forMs`. */
    isShortFor(pool: string, forMs: number, now: number): boolean {
        return hasLasted(this.#shortSince.get(pool), forMs, now);
    }

    /** Whether the pool has been above its planned size for at least `forMs`. */
    isSurplusFor(pool: string, forMs: number, now: number): boolean {
        return hasLasted(this.#surplusSince.get(pool), forMs, now);
    }

    /** Moving average of the duration of moves, in ms. */
    estimateMoveMs(): number {
        return this.#averageMoveMs;
    }

    #updateConfirmedBoots(observation: Observation, now: number): void {
        for (const { instance, drain } of observation.state.instances.values()) {
            const answer = drain === undefined ? undefined : observation.reboots.get(drain.id);
            if (answer?.state === "done" && this.#confirmedBoots.get(instance.name)?.boot !== answer.boot) {
                this.#confirmedBoots.set(instance.name, { boot: answer.boot, confirmedAt: now });
            }
        }
        deleteUnknown(this.#confirmedBoots, observation.state.instances);
    }

    #updateInstances(state: fleetState.FleetState, now: number): void {
        for (const [name, instance] of state.instances) {
            const isActive = instance.phase === fleetState.Phase.active;
            updateSince(this.#notLiveSince, name, !this.isLive(name, now), now);
            updateSince(this.#lostSince, name, isActive && this.isDown(name, now), now);
            if (isActive) {
                this.#recordReturn(name, now);
            }
            updateSince(this.#stoppedSince, name, instance.phase === fleetState.Phase.stopped, now);
        }
        deleteUnknown(this.#notLiveSince, state.instances);
        deleteUnknown(this.#lostSince, state.instances);
        deleteUnknown(this.#stoppedSince, state.instances);
        deleteUnknown(this.#returnedAt, state.instances);
    }

    /**
     * Records the return of an active instance that was stopped in the previous observation. Must run before
     * `#stoppedSince` is updated, whose entry shows that the instance was stopped.
     */
    #recordReturn(name: string, now: number): void {
        const stoppedSince = this.#stoppedSince.get(name);
        if (stoppedSince !== undefined) {
            const durationMs = now - stoppedSince;
            this.#averageRebootMs = updateAverage(this.#averageRebootMs ?? durationMs, durationMs);
            this.#returnedAt.set(name, now);
        }
    }

    #updatePools(state: fleetState.FleetState, now: number): void {
        const balances = balance.computeBalances(state, name => this.isLostFor(name, balance.replaceAfterMs, now));
        for (const [pool, { surplus }] of balances) {
            updateSince(this.#shortSince, pool, surplus < 0, now);
            updateSince(this.#surplusSince, pool, surplus > 0, now);
        }
        deleteUnknown(this.#shortSince, balances);
        deleteUnknown(this.#surplusSince, balances);
    }

    #updateMoves(state: fleetState.FleetState, now: number): void {
        for (const [name, instance] of state.instances) {
            const isMoving = instance.drain?.purpose.kind === "move";
            const startedAt = this.#moveStarts.get(name);
            if (!isMoving && startedAt !== undefined) {
                this.#averageMoveMs = updateAverage(this.#averageMoveMs, now - startedAt);
            }
            updateSince(this.#moveStarts, name, isMoving, now);
        }
        deleteUnknown(this.#moveStarts, state.instances);
    }
}

function updateAverage(average: number, observed: number): number {
    return average + gain * (observed - average);
}

function updateSince(since: Map<string, number>, name: string, applies: boolean, now: number): void {
    if (!applies) {
        since.delete(name);
    }
    else if (!since.has(name)) {
        since.set(name, now);
    }
}

function hasLasted(since: number | undefined, forMs: number, now: number): boolean {
    return since !== undefined && now - since >= forMs;
}

function deleteUnknown(map: Map<string, unknown>, known: ReadonlyMap<string, unknown>): void {
    for (const name of map.keys()) {
        if (!known.has(name)) {
            map.delete(name);
        }
    }
}
