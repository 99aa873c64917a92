/**
 * Since when things have been as they are: absent or failing instances, reboots, pools off their plan.
 *
 * The log doesn't tell these times and a new coordinator starts without them, so each wait then begins anew.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";

/** What is seen at one moment. */
export interface Sighting {
    readonly state: fleetState.FleetState;
    /** Membership list as it was read last. */
    readonly members: readonly schema.platform.Member[];
    /** Instances that fail or are ejected now. */
    readonly unhealthy: ReadonlySet<string>;
    /** The platform's newest answer for each reboot, by drain. */
    readonly reboots: ReadonlyMap<string, schema.platform.RebootAnswer>;
}

interface ConfirmedBoot {
    readonly boot: number;
    readonly confirmedAt: number;
}

/** Time for which a finished reboot outweighs a membership list that still shows an earlier boot, in ms. */
const bootTrustMs = 60_000;
/** Weight of a new observation in a learnt length. */
const gain = 0.3;
const initialMoveMs = 10_000;
/** Time for which a returned instance has to hold before it counts: at most this, in ms, and this share of a reboot. */
const maxSettleMs = 10_000;
const settleShare = 0.02;

/** Memory of first sightings. */
export class Observations {
    #members = new Map<string, schema.platform.Member>();
    #unhealthy: ReadonlySet<string> = new Set();
    readonly #absentSince = new Map<string, number>();
    readonly #lostSince = new Map<string, number>();
    readonly #stoppedSince = new Map<string, number>();
    readonly #returnedAt = new Map<string, number>();
    readonly #shortSince = new Map<string, number>();
    readonly #surplusSince = new Map<string, number>();
    readonly #confirmedBoots = new Map<string, ConfirmedBoot>();
    readonly #moveStarts = new Map<string, number>();
    #moveMs = initialMoveMs;
    #rebootMs: number | undefined;

    /** Takes in what is seen now; called before each plan. */
    observe(sighting: Sighting, now: number): void {
        this.#members = new Map(sighting.members.map(member => [member.name, member]));
        this.#unhealthy = sighting.unhealthy;
        this.#confirmBoots(sighting, now);
        this.#watchInstances(sighting.state, now);
        this.#watchPools(sighting.state, now);
        this.#watchMoves(sighting.state, now);
    }

    /** The instance in the membership list. */
    findMember(name: string): schema.platform.Member | undefined {
        return this.#members.get(name);
    }

    /** Whether the instance runs: listed as live, or rebooted more recently than the list knows. */
    isLive(name: string, now: number): boolean {
        const member = this.#members.get(name);
        if (member === undefined || member.state === "live") {
            return member !== undefined;
        }
        const confirmed = this.#confirmedBoots.get(name);
        return confirmed !== undefined && member.boot < confirmed.boot && now - confirmed.confirmedAt <= bootTrustMs;
    }

    /** Whether an instance that should serve can't: not live, or failing. */
    isLost(name: string, now: number): boolean {
        return this.#unhealthy.has(name) || !this.isLive(name, now);
    }

    /** Whether the instance came back from a reboot so recently that a fault would not be known yet. */
    isSettling(name: string, now: number): boolean {
        const settleMs = Math.min(maxSettleMs, (this.#rebootMs ?? 0) * settleShare);
        return now - (this.#returnedAt.get(name) ?? Number.NEGATIVE_INFINITY) < settleMs;
    }

    /** Clock time since which the instance is not live, undefined while it is. */
    getAbsentSince(name: string): number | undefined {
        return this.#absentSince.get(name);
    }

    /** Whether the instance could not serve for at least `forMs`, other than by a drain. */
    isLostFor(name: string, forMs: number, now: number): boolean {
        const since = this.#lostSince.get(name);
        return since !== undefined && now - since >= forMs;
    }

    /** Clock time since which the instance waits for its reboot to end. */
    getStoppedSince(name: string): number | undefined {
        return this.#stoppedSince.get(name);
    }

    /** Whether the pool was below its plan for at least `forMs`. */
    isShortFor(pool: string, forMs: number, now: number): boolean {
        return hasLasted(this.#shortSince.get(pool), forMs, now);
    }

    /** Whether the pool was above its plan for at least `forMs`. */
    isSurplusFor(pool: string, forMs: number, now: number): boolean {
        return hasLasted(this.#surplusSince.get(pool), forMs, now);
    }

    /** Learnt length of a move, in ms. */
    estimateMoveMs(): number {
        return this.#moveMs;
    }

    #confirmBoots(sighting: Sighting, now: number): void {
        for (const { instance, drain } of sighting.state.instances.values()) {
            const answer = drain === undefined ? undefined : sighting.reboots.get(drain.id);
            if (answer?.state === "done" && this.#confirmedBoots.get(instance.name)?.boot !== answer.boot) {
                this.#confirmedBoots.set(instance.name, { boot: answer.boot, confirmedAt: now });
            }
        }
        dropUnknown(this.#confirmedBoots, sighting.state.instances);
    }

    #watchInstances(state: fleetState.FleetState, now: number): void {
        for (const [name, instance] of state.instances) {
            const serves = instance.phase === fleetState.Phase.active;
            note(this.#absentSince, name, !this.isLive(name, now), now);
            note(this.#lostSince, name, serves && this.isLost(name, now), now);
            if (serves) {
                this.#noteReturn(name, now);
            }
            note(this.#stoppedSince, name, instance.phase === fleetState.Phase.stopped, now);
        }
        dropUnknown(this.#absentSince, state.instances);
        dropUnknown(this.#lostSince, state.instances);
        dropUnknown(this.#stoppedSince, state.instances);
        dropUnknown(this.#returnedAt, state.instances);
    }

    #noteReturn(name: string, now: number): void {
        const stoppedSince = this.#stoppedSince.get(name);
        if (stoppedSince !== undefined) {
            const lengthMs = now - stoppedSince;
            this.#rebootMs = learn(this.#rebootMs ?? lengthMs, lengthMs);
            this.#returnedAt.set(name, now);
        }
    }

    #watchPools(state: fleetState.FleetState, now: number): void {
        const balances = balance.measureBalances(state, name => this.isLostFor(name, balance.replaceAfterMs, now));
        for (const [pool, { difference }] of balances) {
            note(this.#shortSince, pool, difference < 0, now);
            note(this.#surplusSince, pool, difference > 0, now);
        }
        dropUnknown(this.#shortSince, balances);
        dropUnknown(this.#surplusSince, balances);
    }

    #watchMoves(state: fleetState.FleetState, now: number): void {
        for (const [name, instance] of state.instances) {
            const moves = instance.drain?.purpose.kind === "move";
            const startedAt = this.#moveStarts.get(name);
            if (!moves && startedAt !== undefined) {
                this.#moveMs = learn(this.#moveMs, now - startedAt);
            }
            note(this.#moveStarts, name, moves, now);
        }
        dropUnknown(this.#moveStarts, state.instances);
    }
}

function learn(learnt: number, observed: number): number {
    return learnt + gain * (observed - learnt);
}

function note(since: Map<string, number>, name: string, holds: boolean, now: number): void {
    if (!holds) {
        since.delete(name);
    }
    else if (!since.has(name)) {
        since.set(name, now);
    }
}

function hasLasted(since: number | undefined, forMs: number, now: number): boolean {
    return since !== undefined && now - since >= forMs;
}

function dropUnknown(map: Map<string, unknown>, known: ReadonlyMap<string, unknown>): void {
    for (const name of map.keys()) {
        if (!known.has(name)) {
            map.delete(name);
        }
    }
}
