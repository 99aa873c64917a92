/**
 * State and services that the components of one coordinator share during its term.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as clocks from "./clocks.js";
import type * as leaderElection from "./leader-election.js";
import type * as ledgerWriter from "./ledger-writer.js";

export interface CoordinatorContext {
    readonly node: string;
    readonly claim: leaderElection.Claim;
    /** Epoch of this coordinator's term; also the fencing token of its orders for machines, and the lowest one for servers. */
    readonly epoch: number;
    /**
     * On the monotonic clock: when this coordinator was created, after its claim was stored and its predecessors
     * fenced.
     */
    readonly termStartedAt: number;
    readonly settings: platform.settings.ProcessSettings;
    readonly clock: clocks.Clocks;
    readonly log: eventLog.EventLog;
    /** For calls to the platform's machine list and to the advice service. */
    readonly calls: httpCalls.HttpClient;
    /** For calls to backend servers. */
    readonly serverCalls: httpCalls.HttpClient;
    readonly writer: ledgerWriter.LedgerWriter;
    /** All known jobs; the job registry holds those of them that aren't settled or still have runs. */
    readonly jobs: jobState.JobTable;
    /** Newest configuration; `undefined` before one was read. */
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Ends the coordinator's term, for example because a newer coordinator was seen. */
    readonly stepDown: (reason: string) => void;
    /**
     * Whether orders may give servers longer leases, and settled jobs be removed. Not once the store hasn't stored
     * anything of this epoch for one lease duration: there may be a successor by then, which counts the leases of servers
     * that it can't reach as expired two lease durations after its term began.
     */
    readonly mayExtendLeases: () => boolean;
    /** Ms by which this process's timers have lately been late. */
    readonly lateness: () => number;
    /** Schedules a placement pass after a change that may let tasks start. */
    readonly schedulePass: () => void;
}

/**
 * Timeout in ms of a call that starts, stops or paces a run, and of a lease renewal beyond the time for which the
 * server may delay its response; servers usually respond within a few ms.
 */
export const serverCallTimeout = 700;
/** Longest time in ms for which servers are known to carry out a call late, if they don't respond to it. */
export const maxCallLateness = 12_000;
/**
 * Duration in ms of a lease, which covers all runs on a server: once it has expired, their tasks may be started on
 * other servers. Long enough to outlast a change of coordinator, short enough that the tasks of a partitioned server
 * are soon started elsewhere.
 */
const preferredLeaseDuration = 4500;

/** Lease duration in ms, limited to the longest lease that the backend servers grant. */
export function computeLeaseDuration(settings: platform.settings.ProcessSettings): number {
    return Math.min(preferredLeaseDuration, settings.bounds.maxLease);
}
