/**
 * Carries out the planner's decisions while this session holds the coordinator lease.
 *
 * Rounds run one at a time: observe, plan, append the decisions, wait for their verdicts. Each record carries the epoch
 * of the lease, so that the records of a paused coordinator are ignored once another has acquired the lease.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as planner from "@catkinwharf/planner";
import * as schema from "@catkinwharf/schema";
import * as coordinatorLease from "./coordinator-lease.js";
import * as fleetView from "./fleet-view.js";
import * as handOverGate from "./hand-over-gate.js";
import * as metrics from "./metrics.js";
import * as pendingDecisions from "./pending-decisions.js";
import * as platformPoller from "./platform-poller.js";
import * as records from "./records.js";
import * as snapshotWriter from "./snapshot-writer.js";
import * as stopStatus from "./stop-status.js";

/** Time in ms between rounds; a round is skipped while the previous one still runs. */
const roundIntervalMs = 250;
/** Time limit in ms for a decision to be appended and read back. */
const decisionTimeoutMs = 10_000;

export interface CoordinatorOptions {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordAppender;
    readonly lease: coordinatorLease.CoordinatorLease;
    readonly poller: platformPoller.PlatformPoller;
    readonly snapshots: snapshotWriter.SnapshotWriter;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly wallClock: () => number;
    readonly policy: planner.Policy;
    /** Longest time in ms that a request may take. */
    readonly maxRequestMs: number;
    /** Time in ms without a renewal after which a home is assumed not to receive drain records. */
    readonly maxHomeRenewalLagMs: number;
    /** Whether this session's renewals are confirmed and the log is read to its head. */
    isFresh(): boolean;
    readSession(): string;
    /** Instances that any entry instance has ejected because their requests fail. */
    listEjected(): ReadonlySet<string>;
    /** Load of the whole fleet, by service. */
    listDemand(): readonly planner.Demand[];
}

export class Coordinator {
    readonly #options: CoordinatorOptions;
    #observations = new planner.Observations();
    readonly #pendingDecisions = new pendingDecisions.PendingDecisions();
    readonly #handOverGate: handOverGate.HandOverGate;
    readonly #demandHistory = new planner.DemandHistory();
    #epoch = 0;
    #stopWaits: ReadonlyMap<string, stopStatus.StopWait> = new Map();
    #timer: NodeJS.Timeout | undefined;
    #round: Promise<void> | undefined;

    constructor(options: CoordinatorOptions) {
        this.#options = options;
        this.#handOverGate = new handOverGate.HandOverGate({
            maxWaitMs: options.maxRequestMs,
            onUnchecked: () => options.metrics.count("decisions", "hand-over-unchecked"),
        });
    }

    start(): void {
        this.#timer = setInterval(() => {
            this.#round ??= this.#runRound().finally(() => this.#round = undefined);
        }, roundIntervalMs);
    }

    async stop(): Promise<void> {
        clearInterval(this.#timer);
        await this.#round;
        await this.#options.lease.release(this.#options.clock());
    }

    /** Why the next instance of a stop isn't drained yet; undefined unless this session is the coordinator. */
    getStopWait(stop: string): stopStatus.StopWait | undefined {
        return this.#options.lease.isHeld ? this.#stopWaits.get(stop) : undefined;
    }

    async #runRound(): Promise<void> {
        if (!this.#options.isFresh()) {
            return;
        }
        await this.#options.lease.renewOrAcquire(this.#options.clock());
        if (!this.#options.lease.isHeld) {
            return;
        }
        this.#discardOldObservations();
        await this.#options.poller.refresh(this.#options.view.state, this.#options.clock());
        await this.#planAndAppend();
        await this.#releaseLeaseIfStuck();
        await this.#options.snapshots.writeIfDue(this.#options.view.state, this.#options.clock());
    }

    /** Discards observations of an earlier epoch: they don't cover the time in which this session held no lease. */
    #discardOldObservations(): void {
        const epoch = this.#options.view.state.lease.epoch;
        if (epoch !== this.#epoch) {
            this.#epoch = epoch;
            this.#observations = new planner.Observations();
        }
    }

    /** Releases the lease if a decision stays unconfirmed: records of an earlier epoch have no effect after that. */
    async #releaseLeaseIfStuck(): Promise<void> {
        const now = this.#options.clock();
        if (this.#pendingDecisions.isStuck(now)) {
            this.#options.metrics.count("lease_events", "given-up");
            await this.#options.lease.release(now);
        }
    }

    async #planAndAppend(): Promise<void> {
        const state = this.#options.view.state;
        const now = this.#options.wallClock();
        for (const sample of this.#options.listDemand()) {
            this.#demandHistory.record(sample);
        }
        const input: planner.PlanInput = {
            state,
            members: this.#options.poller.members,
            membersReadAt: this.#options.poller.membersReadAt,
            unhealthy: this.#options.listEjected(),
            reboots: this.#options.poller.reboots,
            demand: this.#demandHistory,
            observations: this.#observations,
            pending: this.#pendingDecisions.list(state),
            maxHomeRenewalLagMs: this.#options.maxHomeRenewalLagMs,
            now,
            policy: this.#options.policy,
        };
        this.#observations.observe(input, now);
        const plan = planner.plan(input);
        this.#stopWaits = new Map(plan.waits.map(wait => [wait.stop, {
            halted: wait.reason === planner.WaitReason.halted,
            detail: `${wait.reason}: ${wait.detail}`,
        }]));
        const usage = this.#options.poller.usage;
        const decisions = this.#handOverGate.filter(plan.decisions, state, usage, this.#options.clock());
        await Promise.all(decisions.map(draft => this.#append(draft, state.lease.epoch)));
    }

    async #append(draft: planner.DecisionDraft, epoch: number): Promise<void> {
        const record = {
            ...records.createHeader(this.#options.readSession()),
            epoch,
            ...draft,
        } as schema.log.FleetRecord;
        const deadline = this.#options.clock() + decisionTimeoutMs;
        const result = await this.#options.view.propose(this.#options.stream, record, deadline);
        if (result.isErr()) {
            if (result.error.fault === errors.PlatformFault.unanswered) {
                this.#pendingDecisions.add(record.id, draft, epoch, this.#options.clock());
            }
            this.#options.metrics.count("decisions", `${draft.kind}:${result.error.fault}`);
            return;
        }
        const verdict = result.value.verdict;
        this.#options.metrics.count("decisions", draft.kind);
        if (!verdict.applied) {
            this.#options.metrics.count("ignored_records", verdict.ignored ?? fleetState.IgnoreReason.malformed);
            this.#options.logger.info(`The decision record ${draft.kind} was ignored: ${verdict.ignored ?? ""}.`);
        }
    }
}
