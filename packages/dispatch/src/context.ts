/**
 * What the parts of one coordinator share for as long as it coordinates.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import type * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import type * as clocks from "./clocks.js";
import type * as ledgerWriter from "./ledger-writer.js";

export interface CoordinatorContext {
    readonly node: string;
    /** Also the fencing token of all its orders. */
    readonly epoch: number;
    /** On the steady clock. */
    readonly claimedAt: number;
    readonly settings: platform.settings.NodeSettings;
    readonly clock: clocks.Clocks;
    readonly log: eventLog.EventLog;
    readonly calls: httpCalls.HttpCalls;
    readonly writer: ledgerWriter.LedgerWriter;
    readonly jobs: jobState.JobTable;
    /** Newest configuration. */
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** A newer coordinator has been seen. */
    readonly stepDown: (reason: string) => void;
    /** Something changed that may let tasks start. */
    readonly wake: () => void;
}

/** Steps down when a server's answer shows that a newer coordinator has ordered it; returns whether it does. */
export function stepDownIfFenced(
    shared: CoordinatorContext,
    server: string,
    answer: platform.serverCalls.OrderAnswer | platform.serverCalls.HoldAnswer,
): boolean {
    const fenced = answer.kind === "refused" && answer.reason === platform.serverCalls.Refusal.fenced;
    if (fenced) {
        shared.stepDown(`server ${server} has seen a higher fencing token`);
    }
    return fenced;
}

/** Time in ms for an order to a backend server; they answer within a few. */
export const orderTimeout = 700;
/** Lease in ms: outlasts a change of coordinator, and brings back what a server that was cut off held. */
const leaseTime = 4500;

export function findLeaseTime(settings: platform.settings.NodeSettings): number {
    return Math.min(leaseTime, settings.bounds.maxLease);
}
