/**
 * Decisions whose append was not confirmed in time and which may still take effect.
 *
 * A decision stays pending until its record is read back, or until the lease under which it was made has ended: records
 * of another epoch or of a released lease are ignored. There is no time after which a late append is assumed to have
 * failed. If a decision stays pending for too long, its author releases the lease, and the record can no longer take
 * effect.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";

/** Time in ms that a decision may be pending before the lease is released. */
const maxPendingMs = 30_000;

interface PendingDecision {
    readonly draft: planner.DecisionDraft;
    readonly epoch: number;
    /** Clock time in ms at which the decision became pending. */
    readonly since: number;
}

export class PendingDecisions {
    readonly #decisions = new Map<string, PendingDecision>();

    /** Adds a decision under the id of its record. `now` is clock time in ms. */
    add(id: string, draft: planner.DecisionDraft, epoch: number, now: number): void {
        this.#decisions.set(id, { draft, epoch, since: now });
    }

    /** Decisions that may still take effect, given what was read into `state`. */
    list(state: fleetState.FleetState): readonly planner.DecisionDraft[] {
        for (const [id, decision] of this.#decisions) {
            const isVoid = decision.epoch !== state.lease.epoch || state.lease.session === undefined;
            if (isVoid || fleetState.hasRecord(state, id)) {
                this.#decisions.delete(id);
            }
        }
        return [...this.#decisions.values()].map(decision => decision.draft);
    }

    /** Whether a decision has been pending for so long that the lease should be released. `now` is clock time in ms. */
    isStuck(now: number): boolean {
        return [...this.#decisions.values()].some(decision => now - decision.since >= maxPendingMs);
    }
}
