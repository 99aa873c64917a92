/**
 * What all parts of one plan share, and the decisions that they have made so far.
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

/** What a plan is made from. */
export interface PlanInput {
    readonly state: fleetState.FleetState;
    /** Membership list as it was read last. */
    readonly members: readonly schema.platform.Member[];
    /** Clock time in ms at which the membership list was read; `now` when absent. */
    readonly membersReadAt?: number;
    /** Instances that fail or are ejected now. */
    readonly unhealthy: ReadonlySet<string>;
    readonly demand: demandHistory.DemandHistory;
    /** Memory of first sightings; `observe` was called with the same input. */
    readonly observations: observations.Observations;
    /** The platform's newest answer for each reboot, by drain. */
    readonly reboots: ReadonlyMap<string, schema.platform.RebootAnswer>;
    /** Drafts of earlier plans whose verdict was not read back; they count as decided. */
    readonly pending?: readonly draft.DecisionDraft[];
    readonly policy: policies.Policy;
    /**
     * Platform time in ms that a home's newest renewal may lie behind the newest of any session; beyond it the home
     * may not hear of a drain, so none is started. 3 s when absent.
     */
    readonly homeSilenceMs?: number;
    readonly now: number;
}

const defaultHomeSilenceMs = 3_000;

/** Age of the membership list above which nothing is taken out, in ms. */
const maxMembershipAgeMs = 60_000;

/** Input and progress of one plan. */
export class PlanContext {
    readonly input: PlanInput;
    readonly configuration: schema.log.Configuration;
    readonly pools: ReadonlyMap<string, capacity.PoolView>;
    readonly #pending: ReadonlySet<string>;
    readonly #cutOffZones: ReadonlySet<string>;
    /** Platform time in ms of the newest renewal of any session. */
    readonly #newestRenewal: number;
    readonly #decided = new Set<string>();
    #drains = 0;

    constructor(input: PlanInput, configuration: schema.log.Configuration) {
        this.input = input;
        this.configuration = configuration;
        this.#pending = new Set((input.pending ?? []).map(draft.getSubject));
        this.#cutOffZones = registration.listCutOffZones(
            input.state,
            name => input.observations.getAbsentSince(name) !== undefined,
        );
        this.#newestRenewal = Math.max(0, ...[...input.state.sessions.values()].map(session => session.renewedAt));
        const idle = new Set([...this.#listLeaving(), ...this.#listUnheard()]);
        this.pools = capacity.viewPools(input.state, configuration, input.observations, idle, input.now);
    }

    /** Instances that a pending drain may have taken out. */
    #listLeaving(): string[] {
        return (this.input.pending ?? []).filter(one => one.kind === "drain-started").map(draft.getSubject);
    }

    /** Instances that serve at most the callers of a zone that is cut off. */
    #listUnheard(): string[] {
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

    /** Whether an earlier decision about the instance was not read back. */
    isPending(instance: string): boolean {
        return this.#pending.has(instance);
    }

    /** Whether the instance is out for the stop, or will be by a decision that was not read back. */
    isOutFor(instance: string, stop: string): boolean {
        const decided = this.input.pending?.find(one => draft.getSubject(one) === instance);
        const purpose = decided?.kind === "drain-started"
            ? decided.purpose
            : this.state.instances.get(instance)?.drain?.purpose;
        return purpose?.kind === "stop" && purpose.stop === stop;
    }

    /** Notes drafts of this plan, so that later parts decide nothing else about the same instances. */
    noteDecided(drafts: readonly draft.DecisionDraft[]): void {
        for (const one of drafts) {
            this.#decided.add(draft.getSubject(one));
        }
    }

    /** Whether most of the zone's instances are absent at once. */
    isZoneCutOff(availabilityZone: string): boolean {
        return this.#cutOffZones.has(availabilityZone);
    }

    isMembershipStale(): boolean {
        return this.now - (this.input.membersReadAt ?? this.now) > maxMembershipAgeMs;
    }

    /** Whether an instance can't serve for so long that it is replaced; never in a zone that is cut off. */
    isLostForLong(instance: string): boolean {
        const zone = this.state.instances.get(instance)?.instance.availabilityZone;
        return zone !== undefined
            && !this.isZoneCutOff(zone)
            && this.observations.isLostFor(instance, balance.replaceAfterMs, this.now);
    }

    /**
     * Whether the instance's home, if it has one, would hear of a drain: it renews its session about as late as others.
     * Both times are the platform's, so that no clocks are compared.
     */
    isHomeReachable(instance: fleetState.InstanceState): boolean {
        const home = instance.home === undefined ? undefined : this.state.sessions.get(instance.home);
        const silenceMs = this.input.homeSilenceMs ?? defaultHomeSilenceMs;
        return home === undefined || this.#newestRenewal - home.renewedAt <= silenceMs;
    }

    /** Instances that this plan may take out: active, with a home that hears of it and no decision under way. */
    isFree(instance: capacity.InstanceView): boolean {
        const undecided = !this.isPending(instance.name) && !this.#decided.has(instance.name);
        return instance.state.phase === "active" && undecided && this.isHomeReachable(instance.state);
    }

    /** Takes an instance out of its pool and drafts the drain. */
    startDrain(instance: capacity.InstanceView, purpose: schema.log.DrainPurpose): draft.DecisionDraft {
        instance.available = false;
        this.#decided.add(instance.name);
        const { lease, nextOffset } = this.state;
        return {
            kind: "drain-started",
            instance: instance.name,
            drain: `drain-${lease.epoch}-${nextOffset}-${this.now}-${this.#drains++}`,
            purpose,
            startedAt: this.now,
        };
    }
}
