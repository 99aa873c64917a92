/**
 * The fleet that a decision run plans for: members with their reboots and faults as a list of events, and the fold,
 * which only the drafts of the plans change. No process runs; time is a number.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as planner from "@catkinwharf/planner";
import type * as schema from "@catkinwharf/schema";
import type * as decisionRandom from "./decision-random.js";
import * as decisionSetup from "./decision-setup.js";

/** Delays of what the planner sees and of what it decides, in ms. */
export interface Lags {
    readonly membershipMs: number;
    /** Until a failing instance is known as unhealthy. */
    readonly detectionMs: number;
    /** From a draft to its verdict. */
    readonly verdictMs: number;
    /** From a drain to the release by the home. */
    readonly releaseMs: number;
}

/** What happens to a member, and when. */
export interface MemberEvent {
    readonly at: number;
    readonly instance: string;
    readonly change: MemberChange;
}

/** Changes of members. */
export const MemberChange = {
    lost: "lost",
    back: "back",
    failing: "failing",
    sound: "sound",
} as const;

export type MemberChange = (typeof MemberChange)[keyof typeof MemberChange];

interface Timed<Value> {
    readonly at: number;
    readonly value: Value;
}

/** A member as it is, whatever the membership list says. */
interface TrueMember {
    readonly member: schema.platform.Member;
    live: boolean;
    failing: boolean;
    /** Since when it is lost or failing, in ms. */
    faultyAt: number;
    rebootEndsAt: number | undefined;
}

const coordinator = "coordinator";
const epoch = 1;
const rebootSpread = 0.2;

/** State of one run. */
export class DecisionFleet {
    readonly deployment: schema.settings.Deployment;
    readonly policy: planner.Policy;
    readonly lags: Lags;
    readonly members = new Map<string, TrueMember>();
    readonly demand = new planner.DemandHistory();
    /** Lengths of all reboots by instance, in ms. */
    readonly rebootLengths = new Map<string, number>();
    state = fleetState.emptyFleetState;
    now = 0;
    moves = 0;
    readonly #observations = new planner.Observations();
    readonly #random: decisionRandom.Random;
    readonly #reboots = new Map<string, schema.platform.RebootAnswer>();
    #events: MemberEvent[] = [];
    #pending: Timed<readonly planner.DecisionDraft[]>[] = [];
    #lists: Timed<readonly schema.platform.Member[]>[] = [];
    #unhealthySince = new Map<string, number>();

    constructor(
        deployment: schema.settings.Deployment,
        policy: planner.Policy,
        lags: Lags,
        random: decisionRandom.Random,
    ) {
        this.deployment = deployment;
        this.policy = policy;
        this.lags = lags;
        this.#random = random;
        this.#openSessions();
        this.#addMembers();
        this.#publish();
    }

    /** Adds events of members; they happen when the time comes. */
    schedule(events: readonly MemberEvent[]): void {
        this.#events = [...this.#events, ...events].sort((left, right) => left.at - right.at);
    }

    /** Announces a planned stop of whole availability zones. */
    announce(name: string): void {
        const availabilityZones = this.deployment.availabilityZones.map(zone => zone.name);
        this.append({ kind: "stop-announced", stop: { name, reason: "decision run", targets: { availabilityZones } } });
    }

    /** Lets `stepMs` pass and plans once; returns the plan. */
    step(stepMs: number): planner.Plan {
        this.now += stepMs;
        this.#happen();
        this.#settleVerdicts();
        this.#release();
        const made = this.#plan();
        this.#pending.push({ at: this.now + this.lags.verdictMs, value: made.decisions });
        this.#startReboots(made.reboots);
        return made;
    }

    /** Instances of the pool that serve in truth. */
    countServing(pool: string): number {
        return this.#countActive(pool, member => !isFaulty(member));
    }

    /** Instances of the pool that serve as far as could be known, given the lags. */
    countKnownServing(pool: string): number {
        const unseenMs = Math.max(this.lags.membershipMs, this.lags.detectionMs) + this.lags.verdictMs;
        return this.#countActive(pool, member => !isFaulty(member) || this.now - member.faultyAt <= unseenMs);
    }

    #countActive(pool: string, serves: (member: TrueMember) => boolean): number {
        return [...this.state.instances.values()].filter(({ pool: own, phase, instance: { name } }) => {
            const member = this.members.get(name);
            return own === pool && phase === fleetState.Phase.active && member !== undefined && serves(member);
        }).length;
    }

    /** Applies a record at the head of the log. */
    append(body: object, author = coordinator): void {
        const { nextOffset } = this.state;
        const record = { ...body, author, id: `id-${nextOffset}` };
        const application = fleetState.applyEntry(this.state, {
            offset: nextOffset,
            appendedAt: this.now,
            body: record,
        });
        this.state = application.state;
        if (application.verdict.applied && application.record?.kind === "move-committed") {
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
            const sound = { live: true, failing: false, faultyAt: 0, rebootEndsAt: undefined };
            this.members.set(member.name, { member, ...sound });
        }
    }

    #publish(): void {
        for (const profile of this.deployment.profiles) {
            this.append({ kind: "profile-published", profile, expectedVersion: 0 });
        }
        const configuration = decisionSetup.createConfiguration(this.deployment);
        this.append({ kind: "configuration-published", configuration, expectedVersion: 0 });
    }

    #happen(): void {
        while (this.#events[0] !== undefined && this.#events[0].at <= this.now) {
            const event = this.#events.shift() as MemberEvent;
            const member = this.members.get(event.instance);
            if (member !== undefined) {
                member.faultyAt = isFaulty(member) ? member.faultyAt : this.now;
                memberChanges[event.change](member);
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
        this.#lists.push({ at: this.now, value: [...this.members.values()].map(describeMember) });
        while ((this.#lists[1]?.at ?? this.now + 1) <= this.now - this.lags.membershipMs) {
            this.#lists.shift();
        }
    }

    #finishReboot(name: string, member: TrueMember): void {
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

    #settleVerdicts(): void {
        const due = this.#pending.filter(drafts => drafts.at <= this.now);
        this.#pending = this.#pending.filter(drafts => drafts.at > this.now);
        for (const draft of due.flatMap(drafts => drafts.value)) {
            this.append({ ...draft, epoch });
        }
    }

    #release(): void {
        for (const { instance, phase, drain, home, generation } of this.state.instances.values()) {
            const due = (drain?.startedAt ?? 0) + this.lags.verdictMs + this.lags.releaseMs;
            if (phase === fleetState.Phase.draining && this.now >= due) {
                this.append({ kind: "home-released", session: home, instance: instance.name, generation }, home);
            }
        }
    }

    #plan(): planner.Plan {
        const sighting = {
            state: this.state,
            members: this.#lists[0]?.value ?? [],
            unhealthy: this.#listUnhealthy(),
            reboots: this.#reboots,
        };
        this.#observations.observe(sighting, this.now);
        return planner.plan({
            ...sighting,
            demand: this.demand,
            observations: this.#observations,
            pending: this.#pending.flatMap(drafts => drafts.value),
            policy: this.policy,
            now: this.now,
        });
    }

    #listUnhealthy(): ReadonlySet<string> {
        const known = [...this.#unhealthySince].filter(([, since]) => this.now - since >= this.lags.detectionMs);
        return new Set(known.map(([name]) => name));
    }

    #startReboots(pending: readonly planner.PendingReboot[]): void {
        for (const { instance, drain } of pending) {
            const member = this.members.get(instance);
            if (member === undefined || this.#reboots.has(drain)) {
                continue;
            }
            const lengthMs = this.deployment.rebootMs * this.#random.between(1 - rebootSpread, 1 + rebootSpread);
            this.#reboots.set(drain, { state: "rebooting", boot: member.member.boot });
            this.rebootLengths.set(instance, lengthMs);
            member.rebootEndsAt = this.now + lengthMs;
        }
    }
}

const memberChanges: Readonly<Record<MemberChange, (member: TrueMember) => void>> = {
    [MemberChange.lost]: member => {
        member.live = false;
    },
    [MemberChange.back]: member => {
        member.live = true;
    },
    [MemberChange.failing]: member => {
        member.failing = true;
    },
    [MemberChange.sound]: member => {
        member.failing = false;
    },
};

function isFaulty(member: TrueMember): boolean {
    return !member.live || member.failing;
}

function describeMember({ member, live, rebootEndsAt }: TrueMember): schema.platform.Member {
    return { ...member, state: live && rebootEndsAt === undefined ? "live" : "gone" };
}
