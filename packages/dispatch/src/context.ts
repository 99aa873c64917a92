/**
 * State and services that the components of one coordinator share during its term.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import type * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import type * as clocks from "./clocks.js";
import type * as ledgerWriter from "./ledger-writer.js";

export interface CoordinatorContext {
    readonly node: string;
    /** Epoch of this coordinator's term; also the fencing token of all its orders. */
    readonly epoch: number;
    /** When the coordinator's term began, on the steady clock. */
    readonly claimedAt: number;
    readonly settings: platform.settings.NodeSettings;
    readonly clock: clocks.Clocks;
    readonly log: eventLog.EventLog;
    readonly calls: httpCalls.HttpClient;
    readonly writer: ledgerWriter.LedgerWriter;
    readonly jobs: jobState.JobTable;
    /** Newest configuration; `undefined` before one was read. */
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Ends the coordinator's term, for example because a newer coordinator was seen. */
    readonly stepDown: (reason: string) => void;
    /** Schedules a placement pass after a change that may let tasks start. */
    readonly schedulePass: () => void;
}

/** Steps down when a server refused an order because of a higher fencing token; returns whether that was the case. */
export function stepDownIfFenced(
    shared: CoordinatorContext,
    server: string,
    answer: platform.serverCalls.OrderResult | platform.serverCalls.LeaseRenewalResult,
): boolean {
    const fenced = answer.kind === "refused" && answer.reason === platform.serverCalls.Refusal.fenced;
    if (fenced) {
        shared.stepDown(`server ${server} has seen a higher fencing token`);
    }
    return fenced;
}

/** Time limit in ms for an order to a backend server; servers usually answer within a few ms. */
export const orderTimeout = 700;
/**
 * Lease duration in ms: long enough to outlast a change of coordinator, short enough that the tasks of a partitioned
 * server are soon started elsewhere.
 */
const preferredLeaseDuration = 4500;

/** Lease duration in ms, limited to what the platform allows. */
export function computeLeaseDuration(settings: platform.settings.NodeSettings): number {
    return Math.min(preferredLeaseDuration, settings.bounds.maxLease);
}
