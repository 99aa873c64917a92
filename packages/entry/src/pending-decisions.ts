/**
 * Decisions whose append got no answer in time, and which may still take effect.
 *
 * A decision stays pending until its record was read back, or until the lease it was made under has passed: the fold
 * drops a record of another epoch, and of a lease that was released. No time is assumed after which a late append can't
 * take effect; when a decision stays pending for too long, its author gives the lease up, which ends the question.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";

/** Time in ms after which the lease is given up because of a pending decision. */
const maxPendingMs = 30_000;

interface PendingDecision {
    readonly draft: planner.DecisionDraft;
    readonly epoch: number;
    /** Clock time in ms. */
    readonly since: number;
}

export class PendingDecisions {
    readonly #decisions = new Map<string, PendingDecision>();

    /** Notes a decision with its record's id. `now` is clock time in ms. */
    add(id: string, draft: planner.DecisionDraft, epoch: number, now: number): void {
        this.#decisions.set(id, { draft, epoch, since: now });
    }

    /** Decisions that may still take effect, as far as `state` was read. */
    list(state: fleetState.FleetState): readonly planner.DecisionDraft[] {
        for (const [id, decision] of this.#decisions) {
            const isVoid = decision.epoch !== state.lease.epoch || state.lease.session === undefined;
            if (isVoid || fleetState.hasRecord(state, id)) {
                this.#decisions.delete(id);
            }
        }
        return [...this.#decisions.values()].map(decision => decision.draft);
    }

    /** Whether a decision has been pending for so long that the lease should be given up. */
    isStuck(now: number): boolean {
        return [...this.#decisions.values()].some(decision => now - decision.since >= maxPendingMs);
    }
}
