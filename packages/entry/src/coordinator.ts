/**
 * Carries out the planner's decisions while this session holds the coordinator lease.
 *
 * One round at a time: observe, plan, append, wait for the verdicts. Each record carries the lease's epoch, so that a
 * holder that was paused changes nothing after another took over.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as planner from "@catkinwharf/planner";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as handOverGate from "./hand-over-gate.js";
import * as leaseKeeper from "./lease-keeper.js";
import * as metrics from "./metrics.js";
import * as pendingDecisions from "./pending-decisions.js";
import * as platformWatch from "./platform-watch.js";
import * as records from "./records.js";
import * as snapshotWriter from "./snapshot-writer.js";
import * as stopStatus from "./stop-status.js";

/** Time in ms between rounds. */
const roundMs = 250;
/** Time in ms for decisions to be read back. */
const decisionTimeoutMs = 10_000;

export interface CoordinatorParts {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordStream;
    readonly lease: leaseKeeper.LeaseKeeper;
    readonly watch: platformWatch.PlatformWatch;
    readonly snapshots: snapshotWriter.SnapshotWriter;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly wallClock: () => number;
    readonly policy: planner.Policy;
    /** Longest time in ms that a request may run. */
    readonly maxRequestMs: number;
    /** Time in ms without a renewal after which a home is taken for unable to hear of a drain. */
    readonly homeSilenceMs: number;
    /** Whether this session is open and in contact with the log. */
    isFresh(): boolean;
    readSession(): string;
    /** Instances that get no work because they fail, anywhere. */
    listEjected(): ReadonlySet<string>;
    /** Load of the whole fleet by service. */
    listDemand(): readonly planner.Demand[];
}

export class Coordinator {
    readonly #parts: CoordinatorParts;
    #observations = new planner.Observations();
    readonly #pending = new pendingDecisions.PendingDecisions();
    readonly #gate: handOverGate.HandOverGate;
    readonly #demand = new planner.DemandHistory();
    #epoch = 0;
    #waits: ReadonlyMap<string, stopStatus.StopWait> = new Map();
    #timer: NodeJS.Timeout | undefined;
    #round: Promise<void> | undefined;

    constructor(parts: CoordinatorParts) {
        this.#parts = parts;
        this.#gate = new handOverGate.HandOverGate({
            maxWaitMs: parts.maxRequestMs,
            onUnchecked: () => parts.metrics.count("decisions", "hand-over-unchecked"),
        });
    }

    start(): void {
        this.#timer = setInterval(() => {
            this.#round ??= this.#runRound().finally(() => this.#round = undefined);
        }, roundMs);
    }

    async stop(): Promise<void> {
        clearInterval(this.#timer);
        await this.#round;
        await this.#parts.lease.release(this.#parts.clock());
    }

    /** Why a stop's next instance isn't drained; known only to the coordinator. */
    readWait(stop: string): stopStatus.StopWait | undefined {
        return this.#parts.lease.isHeld ? this.#waits.get(stop) : undefined;
    }

    async #runRound(): Promise<void> {
        if (!this.#parts.isFresh()) {
            return;
        }
        await this.#parts.lease.tend(this.#parts.clock());
        if (!this.#parts.lease.isHeld) {
            return;
        }
        this.#beginEpoch();
        await this.#parts.watch.refresh(this.#parts.view.state, this.#parts.clock());
        await this.#decide();
        await this.#giveUpIfStuck();
        await this.#parts.snapshots.writeIfDue(this.#parts.view.state, this.#parts.clock());
    }

    /** What was observed under an earlier lease says nothing about the time between. */
    #beginEpoch(): void {
        const epoch = this.#parts.view.state.lease.epoch;
        if (epoch !== this.#epoch) {
            this.#epoch = epoch;
            this.#observations = new planner.Observations();
        }
    }

    /** Ends the doubt about decisions that were not read back: under the next epoch they have no effect. */
    async #giveUpIfStuck(): Promise<void> {
        const now = this.#parts.clock();
        if (this.#pending.isStuck(now)) {
            this.#parts.metrics.count("lease_events", "given-up");
            await this.#parts.lease.release(now);
        }
    }

    async #decide(): Promise<void> {
        const state = this.#parts.view.state;
        const now = this.#parts.wallClock();
        for (const sample of this.#parts.listDemand()) {
            this.#demand.record(sample);
        }
        const input: planner.PlanInput = {
            state,
            members: this.#parts.watch.members,
            membersReadAt: this.#parts.watch.membersReadAt,
            unhealthy: this.#parts.listEjected(),
            reboots: this.#parts.watch.reboots,
            demand: this.#demand,
            observations: this.#observations,
            pending: this.#pending.list(state),
            homeSilenceMs: this.#parts.homeSilenceMs,
            now,
            policy: this.#parts.policy,
        };
        this.#observations.observe(input, now);
        const plan = planner.plan(input);
        this.#waits = new Map(plan.waits.map(wait => [wait.stop, {
            halted: wait.reason === planner.WaitReason.halted,
            detail: `${wait.reason}: ${wait.detail}`,
        }]));
        const usage = this.#parts.watch.usage;
        const decisions = this.#gate.filter(plan.decisions, state, usage, this.#parts.clock());
        await Promise.all(decisions.map(draft => this.#append(draft, state.lease.epoch)));
    }

    async #append(draft: planner.DecisionDraft, epoch: number): Promise<void> {
        const record = {
            ...records.createHeader(this.#parts.readSession()),
            epoch,
            ...draft,
        } as schema.log.FleetRecord;
        const deadline = this.#parts.clock() + decisionTimeoutMs;
        const settled = await this.#parts.view.propose(this.#parts.stream, record, deadline);
        if (settled.isErr()) {
            if (settled.error.fault === errors.PlatformFault.unanswered) {
                this.#pending.add(record.id, draft, epoch, this.#parts.clock());
            }
            this.#parts.metrics.count("decisions", `${draft.kind}:${settled.error.fault}`);
            return;
        }
        const verdict = settled.value.verdict;
        this.#parts.metrics.count("decisions", draft.kind);
        if (!verdict.applied) {
            this.#parts.metrics.count("ignored_records", verdict.ignored ?? fleetState.Ignored.malformed);
            this.#parts.logger.info(`A decision was ignored: ${draft.kind}, ${verdict.ignored ?? ""}.`);
        }
    }
}
