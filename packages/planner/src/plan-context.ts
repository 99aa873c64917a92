/**
 * Input of one plan, and the decisions made so far, which all parts of the planner share.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";
import * as capacity from "./capacity.js";
import type * as demandHistory from "./demand-history.js";
import * as draft from "./draft.js";
import type * as observations from "./observations.js";
import type * as policies from "./policies.js";
import * as registration from "./registration.js";

/** Input of a plan. */
export interface PlanInput {
    readonly state: fleetState.FleetState;
    /** Membership list from the newest read. */
    readonly members: readonly schema.platform.Member[];
    /** Clock time in ms at which the membership list was read; `now` when absent. */
    readonly membersReadAt?: number;
    /** Instances that fail requests or are ejected at present. */
    readonly unhealthy: ReadonlySet<string>;
    readonly demand: demandHistory.DemandHistory;
    /** Must have been updated by `observe` with the same input. */
    readonly observations: observations.Observations;
    /** The platform's newest answer about each reboot, by drain id. */
    readonly reboots: ReadonlyMap<string, schema.platform.RebootAnswer>;
    /** Drafts of earlier plans whose outcome in the log (applied or ignored) is not known yet; treated as decided. */
    readonly pending?: readonly draft.DecisionDraft[];
    readonly policy: policies.Policy;
    /**
     * Maximum time in ms by which the newest session renewal of a home may lag behind the newest renewal of any
     * session, both in platform time; 3 s when absent. The home is the entry instance, named by its session, that sends
     * requests to the backend server and releases it from a drain. One that lags further might not learn of a drain, so
     * none of its backend servers is drained.
     */
    readonly maxHomeRenewalLagMs?: number;
    readonly now: number;
}

const defaultMaxHomeRenewalLagMs = 3_000;

/** Age of the membership list above which no drain is started, in ms. */
const maxMembershipAgeMs = 60_000;

/** Input and intermediate results of one plan. */
export class PlanContext {
    readonly input: PlanInput;
    readonly configuration: schema.log.Configuration;
    readonly pools: ReadonlyMap<string, capacity.PoolView>;
    readonly #pending: ReadonlySet<string>;
    readonly #partitionedZones: ReadonlySet<string>;
    /** Platform time in ms of the newest renewal of any session. */
    readonly #newestRenewalAt: number;
    readonly #decided = new Set<string>();
    #drainCount = 0;

    constructor(input: PlanInput, configuration: schema.log.Configuration) {
        this.input = input;
        this.configuration = configuration;
        this.#pending = new Set((input.pending ?? []).map(draft.getInstanceName));
        this.#partitionedZones = registration.listPartitionedZones(
            input.state,
            name => input.observations.getNotLiveSince(name) !== undefined,
        );
        this.#newestRenewalAt = Math.max(0, ...[...input.state.sessions.values()].map(session => session.renewedAt));
        const excluded = new Set([...this.#listPendingDrains(), ...this.#listWithoutReachableHome()]);
        this.pools = capacity.createPoolViews(input.state, configuration, input.observations, excluded, input.now);
    }

    /** Instances that a pending decision may be draining already. */
    #listPendingDrains(): string[] {
        return (this.input.pending ?? []).filter(decision => decision.kind === "drain-started").map(
            draft.getInstanceName,
        );
    }

    /** Instances without a home, or whose home has lost contact with the log. */
    #listWithoutReachableHome(): string[] {
        return [...this.state.instances.values()]
            .filter(instance => instance.home === undefined || !this.isHomeReachable(instance))
            .map(({ instance }) => instance.name);
    }

    get state(): fleetState.FleetState {
        return this.input.state;
    }

    get members(): readonly schema.platform.Member[] {
        return this.input.members;
    }

    get observations(): observations.Observations {
        return this.input.observations;
    }

    get now(): number {
        return this.input.now;
    }

    /** Whether a decision of an earlier plan about the instance is pending. */
    isPending(instance: string): boolean {
        return this.#pending.has(instance);
    }

    /** Whether the instance has a drain for the stop, or a pending decision starts one. */
    hasDrainFor(instance: string, stop: string): boolean {
        const pending = this.input.pending?.find(decision => draft.getInstanceName(decision) === instance);
        const purpose = pending?.kind === "drain-started"
            ? pending.purpose
            : this.state.instances.get(instance)?.drain?.purpose;
        return purpose?.kind === "stop" && purpose.stop === stop;
    }

    /** Records drafts of this plan, so that later parts make no other decision about the same instances. */
    markDecided(drafts: readonly draft.DecisionDraft[]): void {
        for (const decision of drafts) {
            this.#decided.add(draft.getInstanceName(decision));
        }
    }

    /** Whether most of the zone's instances are not live at once, which indicates a network partition. */
    isZonePartitioned(availabilityZone: string): boolean {
        return this.#partitionedZones.has(availabilityZone);
    }

    isMembershipStale(): boolean {
        return this.now - (this.input.membersReadAt ?? this.now) > maxMembershipAgeMs;
    }

    /** Whether an instance has been lost long enough to be replaced; never true in a partitioned zone. */
    needsReplacement(instance: string): boolean {
        const zone = this.state.instances.get(instance)?.instance.availabilityZone;
        return zone !== undefined
            && !this.isZonePartitioned(zone)
            && this.observations.isLostFor(instance, balance.replaceAfterMs, this.now);
    }

    /**
     * Whether the instance's home is in contact with the log, so that it learns of a drain: its newest session renewal
     * is about as recent as that of others. True for an instance without a home. Both are times at which the log
     * appended the renewals, so that the clocks of different machines are never compared.
     */
    isHomeReachable(instance: fleetState.InstanceState): boolean {
        const home = instance.home === undefined ? undefined : this.state.sessions.get(instance.home);
        const maxHomeRenewalLagMs = this.input.maxHomeRenewalLagMs ?? defaultMaxHomeRenewalLagMs;
        return home === undefined || this.#newestRenewalAt - home.renewedAt <= maxHomeRenewalLagMs;
    }

    /**
     * Whether this plan may drain the instance: it is active, its home is reachable, and no decision about it is
     * pending or part of this plan.
     */
    canStartDrain(instance: capacity.InstanceView): boolean {
        const undecided = !this.isPending(instance.name) && !this.#decided.has(instance.name);
        return instance.state.phase === "active" && undecided && this.isHomeReachable(instance.state);
    }

    /** Marks the instance as unavailable in its pool and drafts the drain. */
    startDrain(instance: capacity.InstanceView, purpose: schema.log.DrainPurpose): draft.DecisionDraft {
        instance.available = false;
        this.#decided.add(instance.name);
        const { lease, nextOffset } = this.state;
        return {
            kind: "drain-started",
            instance: instance.name,
            // Unique: one coordinator per epoch; the time and the counter distinguish drains at the same offset.
            drain: `drain-${lease.epoch}-${nextOffset}-${this.now}-${this.#drainCount++}`,
            purpose,
            startedAt: this.now,
        };
    }
}
