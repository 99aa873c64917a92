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
    /** Drafts of earlier plans whose verdict was not read from the log yet; they are treated as decided. */
    readonly pending?: readonly draft.DecisionDraft[];
    readonly policy: policies.Policy;
    /**
     * Maximum time in ms by which a home's newest session renewal may lag behind the newest renewal of any session,
     * both in platform time. A home that lags further may not receive the drain, so none is started. 3 s when absent.
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
            name => input.observations.getAbsentSince(name) !== undefined,
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

    /** Instances that serve no callers, or only those of a partitioned zone, for lack of a reachable home. */
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

    /** Whether the verdict of an earlier decision about the instance was not read yet. */
    isPending(instance: string): boolean {
        return this.#pending.has(instance);
    }

    /** Whether the instance has a drain for the stop, or a pending decision starts one. */
    hasDrainFor(instance: string, stop: string): boolean {
        const decided = this.input.pending?.find(decision => draft.getInstanceName(decision) === instance);
        const purpose = decided?.kind === "drain-started"
            ? decided.purpose
            : this.state.instances.get(instance)?.drain?.purpose;
        return purpose?.kind === "stop" && purpose.stop === stop;
    }

    /** Records drafts of this plan, so that later parts make no other decision about the same instances. */
    markDecided(drafts: readonly draft.DecisionDraft[]): void {
        for (const decision of drafts) {
            this.#decided.add(draft.getInstanceName(decision));
        }
    }

    /** Whether most of the zone's instances are absent at once, which indicates a network partition. */
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
     * Whether the instance's home, if it has one, is in contact with the log and would receive a drain: its newest
     * session renewal is about as recent as that of others. Both times come from the platform's clock, so that the
     * clocks of different machines are never compared.
     */
    isHomeReachable(instance: fleetState.InstanceState): boolean {
        const home = instance.home === undefined ? undefined : this.state.sessions.get(instance.home);
        const maxLagMs = this.input.maxHomeRenewalLagMs ?? defaultMaxHomeRenewalLagMs;
        return home === undefined || this.#newestRenewalAt - home.renewedAt <= maxLagMs;
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
            drain: `drain-${lease.epoch}-${nextOffset}-${this.now}-${this.#drainCount++}`,
            purpose,
            startedAt: this.now,
        };
    }
}
