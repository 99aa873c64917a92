/**
 * Simulated fleet of the decision bench: members with their reboots and scheduled faults, and the fleet state that
 * results from the planner's decisions. It runs within the bench process, on a simulated clock.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import type * as decisionRandom from "./decision-random.js";
import * as decisionSetup from "./decision-setup.js";

/** Delays in ms before the planner observes a change and before its decisions take effect. */
export interface Delays {
    /** From a change of a member to the membership list that shows it. */
    readonly membershipMs: number;
    /** From the failure of an instance to its detection as unhealthy. */
    readonly detectionMs: number;
    /** From a decision draft to the fold of its record. */
    readonly verdictMs: number;
    /** From the fold of a started drain to the release of the instance by its home. */
    readonly releaseMs: number;
}

/** A scheduled change of a member. */
export interface MemberEvent {
    /** Simulated time in ms. */
    readonly at: number;
    readonly instance: string;
    readonly change: MemberChange;
}

export const MemberChange = {
    lost: "lost",
    restored: "restored",
    failing: "failing",
    recovered: "recovered",
} as const;

export type MemberChange = (typeof MemberChange)[keyof typeof MemberChange];

/** A value with the simulated time in ms at which it was created or takes effect. */
interface Timed<Value> {
    readonly at: number;
    readonly value: Value;
}

/** Actual state of a member, which the membership list shows with a delay. */
interface SimulatedMember {
    readonly member: schema.platform.Member;
    live: boolean;
    failing: boolean;
    /** Simulated time in ms at which it became lost or failing; meaningless while it is neither. */
    faultySince: number;
    rebootEndsAt: number | undefined;
}

const coordinator = "coordinator";
const epoch = 1;
/** Reboots take the deployment's reboot time, plus or minus this share of it. */
const rebootVariation = 0.2;

/** Fleet of one run. Each step advances the simulated clock and plans once. */
export class SimulatedFleet {
    readonly deployment: schema.settings.Deployment;
    readonly policy: planner.Policy;
    readonly delays: Delays;
    readonly members = new Map<string, SimulatedMember>();
    readonly demand = new planner.DemandHistory();
    /** Duration in ms of the latest reboot of each instance. */
    readonly rebootDurations = new Map<string, number>();
    state = fleetState.emptyFleetState;
    now = 0;
    moves = 0;
    readonly #observations = new planner.Observations();
    readonly #random: decisionRandom.Random;
    readonly #reboots = new Map<string, schema.platform.RebootAnswer>();
    #events: MemberEvent[] = [];
    #pending: Timed<readonly planner.DecisionDraft[]>[] = [];
    #memberLists: Timed<readonly schema.platform.Member[]>[] = [];
    #unhealthySince = new Map<string, number>();

    constructor(
        deployment: schema.settings.Deployment,
        policy: planner.Policy,
        delays: Delays,
        random: decisionRandom.Random,
    ) {
        this.deployment = deployment;
        this.policy = policy;
        this.delays = delays;
        this.#random = random;
        this.#openSessions();
        this.#addMembers();
        this.#publishConfiguration();
    }

    /** Schedules changes of members. */
    schedule(events: readonly MemberEvent[]): void {
        this.#events = [...this.#events, ...events].sort((left, right) => left.at - right.at);
    }

    /** Announces a planned stop of all availability zones. */
    announceStop(name: string): void {
        const availabilityZones = this.deployment.availabilityZones.map(zone => zone.name);
        this.append({ kind: "stop-announced", stop: { name, reason: "decision run", targets: { availabilityZones } } });
    }

    /** Advances the clock by `stepMs`, applies everything that is due, plans once and returns the plan. */
    step(stepMs: number): planner.Plan {
        this.now += stepMs;
        this.#advanceMembers();
        this.#appendDueDrafts();
        this.#releaseHomes();
        const plan = this.#computePlan();
        this.#pending.push({ at: this.now + this.delays.verdictMs, value: plan.decisions });
        this.#startReboots(plan.reboots);
        return plan;
    }

    /** Counts the instances of the pool that actually serve. */
    countServing(pool: string): number {
        return this.#countActiveInstances(pool, member => !isFaulty(member));
    }

    /**
     * Counts the instances of the pool that serve, including those whose fault is too recent for the planner to know
     * it, given the delays.
     */
    countPresumedServing(pool: string): number {
        const observationDelayMs = Math.max(this.delays.membershipMs, this.delays.detectionMs) + this.delays.verdictMs;
        return this.#countActiveInstances(
            pool,
            member => !isFaulty(member) || this.now - member.faultySince <= observationDelayMs,
        );
    }

    #countActiveInstances(pool: string, serves: (member: SimulatedMember) => boolean): number {
        return [...this.state.instances.values()].filter(({ pool: instancePool, phase, instance: { name } }) => {
            const member = this.members.get(name);
            return instancePool === pool && phase === fleetState.Phase.active && member !== undefined && serves(member);
        }).length;
    }

    /** Appends a record to the log and folds it into the fleet state. */
    append(body: object, author = coordinator): void {
        const { nextOffset } = this.state;
        const record = { ...body, author, id: `id-${nextOffset}` };
        const result = fleetState.applyEntry(this.state, {
            offset: nextOffset,
            appendedAt: this.now,
            body: record,
        });
        this.state = result.state;
        if (result.verdict.applied && result.record?.kind === "move-committed") {
            this.moves++;
        }
    }

    #openSessions(): void {
        const address = { host: "127.0.0.1", port: 1 };
        for (const { name } of this.deployment.availabilityZones) {
            const session = { session: `s-${name}`, entry: `e-${name}`, availabilityZone: name };
            this.append(
                { kind: "session-opened", ...session, peerAddress: address, operatorAddress: address },
                session.session,
            );
        }
        const [zone] = this.deployment.availabilityZones;
        this.append({
            kind: "session-opened",
            session: coordinator,
            entry: coordinator,
            availabilityZone: zone?.name,
            peerAddress: address,
            operatorAddress: address,
        });
        this.append({ kind: "lease-acquired", session: coordinator, observedOffset: -1 });
    }

    #addMembers(): void {
        const { services, spareInstances } = this.deployment;
        const spares = Math.max(spareInstances, this.policy.reservePerPool * services.length);
        for (const member of decisionSetup.createMembers(this.deployment, spares)) {
            const initialState = { live: true, failing: false, faultySince: 0, rebootEndsAt: undefined };
            this.members.set(member.name, { member, ...initialState });
        }
    }

    #publishConfiguration(): void {
        for (const profile of this.deployment.profiles) {
            this.append({ kind: "profile-published", profile, expectedVersion: 0 });
        }
        const configuration = decisionSetup.createConfiguration(this.deployment);
        this.append({ kind: "configuration-published", configuration, expectedVersion: 0 });
    }

    #advanceMembers(): void {
        while (this.#events[0] !== undefined && this.#events[0].at <= this.now) {
            const event = this.#events.shift() as MemberEvent;
            const member = this.members.get(event.instance);
            if (member !== undefined) {
                member.faultySince = isFaulty(member) ? member.faultySince : this.now;
                applyChange[event.change](member);
            }
        }
        for (const [name, member] of this.members) {
            this.#finishReboot(name, member);
            if (!member.failing) {
                this.#unhealthySince.delete(name);
            }
            else if (!this.#unhealthySince.has(name)) {
                this.#unhealthySince.set(name, this.now);
            }
        }
        this.#memberLists.push({ at: this.now, value: [...this.members.values()].map(describeMember) });
        while ((this.#memberLists[1]?.at ?? this.now + 1) <= this.now - this.delays.membershipMs) {
            this.#memberLists.shift();
        }
    }

    #finishReboot(name: string, member: SimulatedMember): void {
        if (member.rebootEndsAt === undefined || member.rebootEndsAt > this.now) {
            return;
        }
        member.rebootEndsAt = undefined;
        member.member.boot++;
        const drain = this.state.instances.get(name)?.drain;
        if (drain !== undefined) {
            this.#reboots.set(drain.id, { state: "done", boot: member.member.boot });
        }
    }

    #appendDueDrafts(): void {
        const due = this.#pending.filter(drafts => drafts.at <= this.now);
        this.#pending = this.#pending.filter(drafts => drafts.at > this.now);
        for (const draft of due.flatMap(drafts => drafts.value)) {
            this.append({ ...draft, epoch });
        }
    }

    #releaseHomes(): void {
        for (const { instance, phase, drain, home, generation } of this.state.instances.values()) {
            const due = (drain?.startedAt ?? 0) + this.delays.verdictMs + this.delays.releaseMs;
            if (phase === fleetState.Phase.draining && this.now >= due) {
                this.append({ kind: "home-released", session: home, instance: instance.name, generation }, home);
            }
        }
    }

    #computePlan(): planner.Plan {
        const observed = {
            state: this.state,
            members: this.#memberLists[0]?.value ?? [],
            unhealthy: this.#listUnhealthy(),
            reboots: this.#reboots,
        };
        this.#observations.observe(observed, this.now);
        return planner.plan({
            ...observed,
            demand: this.demand,
            observations: this.#observations,
            pending: this.#pending.flatMap(drafts => drafts.value),
            policy: this.policy,
            now: this.now,
        });
    }

    #listUnhealthy(): ReadonlySet<string> {
        const knownUnhealthy = [...this.#unhealthySince].filter(([, since]) =>
            this.now - since >= this.delays.detectionMs
        );
        return new Set(knownUnhealthy.map(([name]) => name));
    }

    #startReboots(pending: readonly planner.RequestedReboot[]): void {
        for (const { instance, drain } of pending) {
            const member = this.members.get(instance);
            if (member === undefined || this.#reboots.has(drain)) {
                continue;
            }
            const durationMs = this.deployment.rebootMs
                * this.#random.between(1 - rebootVariation, 1 + rebootVariation);
            this.#reboots.set(drain, { state: "rebooting", boot: member.member.boot });
            this.rebootDurations.set(instance, durationMs);
            member.rebootEndsAt = this.now + durationMs;
        }
    }
}

const applyChange: Readonly<Record<MemberChange, (member: SimulatedMember) => void>> = {
    [MemberChange.lost]: member => {
        member.live = false;
    },
    [MemberChange.restored]: member => {
        member.live = true;
    },
    [MemberChange.failing]: member => {
        member.failing = true;
    },
    [MemberChange.recovered]: member => {
        member.failing = false;
    },
};

function isFaulty(member: SimulatedMember): boolean {
    return !member.live || member.failing;
}

function describeMember({ member, live, rebootEndsAt }: SimulatedMember): schema.platform.Member {
    return { ...member, state: live && rebootEndsAt === undefined ? "live" : "gone" };
}
