/**
 * Holds back the hand-over of a released instance, to the reboot or to another pool, until the platform reports that
 * nothing runs there.
 *
 * The release by a home shows that no request of its own runs. It says nothing of a home before it whose session was
 * closed by another while it was paused: its requests may still run. Only the platform's usage report shows them, with
 * a lag, so a report counts if it was taken after the release. Both times are the platform's: the release is older than
 * any renewal that was appended after the coordinator had read it.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import * as schema from "@catkinwharf/schema";

/** A hand-over that waits. */
interface Waiting {
    /** Clock time in ms at which the release was first seen. */
    readonly since: number;
    /** First offset that was not read then. */
    readonly seenOffset: number;
    /** Platform time in ms from which reports count; undefined until it is known. */
    reportedFrom: number | undefined;
}

export interface HandOverParts {
    /** Time in ms after which no request can still run; then the hand-over goes on without a report. */
    readonly maxWaitMs: number;
    /** Called for each hand-over that went on without a report. */
    onUnchecked(): void;
}

type HandOver = Extract<planner.DecisionDraft, { kind: "instance-stopped" | "move-committed"; }>;

export class HandOverGate {
    readonly #parts: HandOverParts;
    #waiting = new Map<string, Waiting>();

    constructor(parts: HandOverParts) {
        this.#parts = parts;
    }

    /** The drafts without the hand-overs that have to wait. `now` is clock time in ms. */
    filter(
        drafts: readonly planner.DecisionDraft[],
        state: fleetState.FleetState,
        reports: readonly schema.platform.UsageReport[],
        now: number,
    ): readonly planner.DecisionDraft[] {
        const previous = this.#waiting;
        this.#waiting = new Map();
        return drafts.filter(draft => {
            if (!isHandOver(draft)) {
                return true;
            }
            const waiting = previous.get(draft.drain)
                ?? { since: now, seenOffset: state.nextOffset, reportedFrom: undefined };
            waiting.reportedFrom ??= findTimeAfter(state, waiting.seenOffset);
            this.#waiting.set(draft.drain, waiting);
            return isReportedIdle(draft.instance, waiting, reports) || this.#isOver(waiting, now);
        });
    }

    #isOver(waiting: Waiting, now: number): boolean {
        const over = now - waiting.since >= this.#parts.maxWaitMs;
        if (over) {
            this.#parts.onUnchecked();
        }
        return over;
    }
}

function isHandOver(draft: planner.DecisionDraft): draft is HandOver {
    return draft.kind === "instance-stopped" || draft.kind === "move-committed";
}

/** Platform time of a renewal that stands at the offset or after it. */
function findTimeAfter(state: fleetState.FleetState, offset: number): number | undefined {
    return [...state.sessions.values()].find(session => session.renewalOffset >= offset)?.renewedAt;
}

function isReportedIdle(
    instance: string,
    waiting: Waiting,
    reports: readonly schema.platform.UsageReport[],
): boolean {
    const from = waiting.reportedFrom;
    const report = reports.find(one => one.instance === instance);
    return from !== undefined && report !== undefined && report.asOf >= from && report.runningTasks === 0;
}
