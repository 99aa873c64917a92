/**
 * Delays the hand-over of a released instance, to a reboot or to another pool, until the platform reports that no task
 * runs there.
 *
 * A home releases an instance when none of its own requests runs there. Requests of an earlier home may still run, if
 * its session was closed by another session while it was paused. Only the platform's usage reports show them, and the
 * reports lag, so that one counts only if it was taken after the release. Both times are the platform's: the release is
 * older than any renewal that was appended after the coordinator had read the release.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import * as schema from "@catkinwharf/schema";

/** A hand-over that is delayed. */
interface DelayedHandOver {
    /** Clock time in ms at which the release was first seen. */
    readonly since: number;
    /** First offset that had not been read at that time. */
    readonly firstUnreadOffset: number;
    /** Platform time in ms from which usage reports count; undefined until a renewal after the release was read. */
    minReportTime: number | undefined;
}

export interface HandOverGateOptions {
    /** Time in ms after which no request can still run; the hand-over then proceeds without a report. */
    readonly maxWaitMs: number;
    /** Called for each hand-over that proceeds without a report. */
    onUnchecked(): void;
}

type HandOver = Extract<planner.DecisionDraft, { kind: "instance-stopped" | "move-committed"; }>;

export class HandOverGate {
    readonly #options: HandOverGateOptions;
    #delayed = new Map<string, DelayedHandOver>();

    constructor(options: HandOverGateOptions) {
        this.#options = options;
    }

    /** Returns the drafts without the hand-overs that have to wait. `now` is clock time in ms. */
    filter(
        drafts: readonly planner.DecisionDraft[],
        state: fleetState.FleetState,
        reports: readonly schema.platform.UsageReport[],
        now: number,
    ): readonly planner.DecisionDraft[] {
        const previouslyDelayed = this.#delayed;
        this.#delayed = new Map();
        return drafts.filter(draft => {
            if (!isHandOver(draft)) {
                return true;
            }
            const delayed = previouslyDelayed.get(draft.drain)
                ?? { since: now, firstUnreadOffset: state.nextOffset, minReportTime: undefined };
            delayed.minReportTime ??= findRenewalTime(state, delayed.firstUnreadOffset);
            this.#delayed.set(draft.drain, delayed);
            return isReportedIdle(draft.instance, delayed, reports) || this.#hasTimedOut(delayed, now);
        });
    }

    #hasTimedOut(delayed: DelayedHandOver, now: number): boolean {
        const timedOut = now - delayed.since >= this.#options.maxWaitMs;
        if (timedOut) {
            this.#options.onUnchecked();
        }
        return timedOut;
    }
}

function isHandOver(draft: planner.DecisionDraft): draft is HandOver {
    return draft.kind === "instance-stopped" || draft.kind === "move-committed";
}

/** Platform time of a renewal at or after the offset; undefined if none was read. */
function findRenewalTime(state: fleetState.FleetState, offset: number): number | undefined {
    return [...state.sessions.values()].find(session => session.renewalOffset >= offset)?.renewedAt;
}

function isReportedIdle(
    instance: string,
    delayed: DelayedHandOver,
    reports: readonly schema.platform.UsageReport[],
): boolean {
    const from = delayed.minReportTime;
    const report = reports.find(candidate => candidate.instance === instance);
    return from !== undefined && report !== undefined && report.asOf >= from && report.runningTasks === 0;
}
