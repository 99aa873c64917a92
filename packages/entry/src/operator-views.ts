/**
 * Read-only views for operators: the fleet as this entry instance has read it, and explanations of its state.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as coordinator from "./coordinator.js";
import * as fleetView from "./fleet-view.js";
import * as peerDirectory from "./peer-directory.js";
import * as stopStatus from "./stop-status.js";

const defaultLogLimit = 100;

/** Status of this entry process. */
export interface SelfDescription {
    readonly entry: string;
    readonly availabilityZone: string;
    readonly session: string;
    readonly ready: boolean;
    readonly blind: boolean;
}

export interface OperatorViewsOptions {
    readonly view: fleetView.FleetView;
    readonly directory: peerDirectory.PeerDirectory;
    readonly coordinator: coordinator.Coordinator;
    readonly wallClock: () => number;
    describeSelf(): SelfDescription;
    listEjected(): readonly string[];
    explainRequest(key: string): Promise<readonly string[]>;
}

export class OperatorViews {
    readonly #options: OperatorViewsOptions;

    constructor(options: OperatorViewsOptions) {
        this.#options = options;
    }

    get #state(): fleetState.FleetState {
        return this.#options.view.state;
    }

    describeStatus(): schema.operator.StatusAnswer {
        const state = this.#state;
        const ejected = this.#listEjected();
        return {
            ...this.#options.describeSelf(),
            configurationVersion: state.configuration?.version ?? 0,
            appliedOffset: state.nextOffset,
            coordinator: state.lease.session ?? "",
            epoch: state.lease.epoch,
            profiles: [...state.profiles].map(([name, profile]) => ({ name, version: profile.version })),
            sessions: [...state.sessions.values()].map(session => this.#describeSession(session)),
            pools: listPoolNames(state).map(pool => describePool(state, pool, ejected)),
            stops: [...state.stops.values()].map(stop => this.#describeStop(stop)),
        };
    }

    #listEjected(): ReadonlySet<string> {
        return new Set([...this.#options.listEjected(), ...this.#options.directory.listEjected()]);
    }

    #describeSession(session: fleetState.SessionState): schema.operator.SessionStatus {
        const isOwn = session.session === this.#options.describeSelf().session;
        return {
            session: session.session,
            entry: session.entry,
            availabilityZone: session.availabilityZone,
            configurationVersion: session.configurationVersion,
            appliedOffset: session.appliedOffset,
            renewedAt: session.renewedAt,
            homes: fleetState.listHomedInstances(this.#state, session.session).length,
            reachable: isOwn || this.#options.directory.get(session.session)?.link.state === "connected",
        };
    }

    #describeStop(stop: fleetState.StopState): schema.operator.StopStatus {
        return stopStatus.describeStop(
            this.#state,
            stop,
            this.#options.coordinator.getStopWait(stop.stop.name),
            this.#options.wallClock(),
        );
    }

    describeConfiguration(): schema.operator.ConfigurationAnswer {
        const configuration = this.#state.configuration;
        return configuration === undefined
            ? { version: 0 }
            : { version: configuration.version, configuration: configuration.value };
    }

    listProfiles(): schema.operator.ProfilesAnswer {
        const profiles = [...this.#state.profiles.values()];
        return { profiles: profiles.map(profile => ({ version: profile.version, profile: profile.value })) };
    }

    listMoves(): schema.operator.MovesAnswer {
        const moves = [...this.#state.instances.values()].flatMap(instance => {
            const purpose = instance.drain?.purpose;
            return purpose?.kind === "move"
                ? [{
                    instance: instance.instance.name,
                    fromPool: instance.pool,
                    toPool: purpose.pool,
                    phase: instance.phase,
                    startedAt: instance.drain?.startedAt ?? 0,
                }]
                : [];
        });
        return { moves };
    }

    listLog(query: Readonly<Record<string, unknown>>): schema.operator.LogAnswer {
        const recentEntries = this.#options.view.recentEntries;
        const oldestOffset = recentEntries[0]?.entry.offset ?? this.#state.nextOffset;
        const from = readNumber(query["from"]) ?? oldestOffset;
        const limit = readNumber(query["limit"]) ?? defaultLogLimit;
        const selected = recentEntries.filter(recent => recent.entry.offset >= from).slice(0, limit);
        const last = selected[selected.length - 1];
        return {
            entries: selected.map(describeEntry),
            nextOffset: last === undefined ? Math.max(from, oldestOffset) : last.entry.offset + 1,
            oldestOffset,
        };
    }

    explainInstance(name: string): schema.operator.ExplainAnswer | undefined {
        const instance = this.#state.instances.get(name);
        if (instance === undefined) {
            return undefined;
        }
        const ejected = this.#listEjected().has(name);
        return { subject: `instance ${name}`, lines: explainInstance(this.#state, instance, ejected) };
    }

    explainStop(name: string): schema.operator.ExplainAnswer | undefined {
        const stop = this.#state.stops.get(name);
        if (stop === undefined) {
            return undefined;
        }
        const status = this.#describeStop(stop);
        return {
            subject: `stop ${name}`,
            lines: [
                `It is ${status.state}: ${status.done} of ${status.total} instances are back.`,
                `${status.inProgress} instances drain or reboot.`,
                ...(status.waitingFor === "" ? [] : [`The next one waits: ${status.waitingFor}.`]),
                ...status.overdue.map(instance => `Instance ${instance} still runs work past its drain timeout.`),
                ...stop.failed.map(instance => `Instance ${instance} did not come back healthy.`),
            ],
        };
    }

    async explainRequest(key: string): Promise<schema.operator.ExplainAnswer | undefined> {
        const lines = await this.#options.explainRequest(key);
        return lines.length === 0 ? undefined : { subject: `request ${key}`, lines: [...lines] };
    }
}

function listPoolNames(state: fleetState.FleetState): readonly string[] {
    const configuration = state.configuration?.value;
    const planned = configuration === undefined
        ? []
        : [...configuration.pools.map(pool => pool.name), configuration.sparePool];
    const used = [...state.instances.values()].map(instance => instance.pool);
    return [...new Set([...planned, ...used])];
}

function describePool(
    state: fleetState.FleetState,
    pool: string,
    ejected: ReadonlySet<string>,
): schema.operator.PoolStatus {
    const members = fleetState.instancesOfPool(state, pool);
    const count = (phases: readonly fleetState.Phase[]): number =>
        members.filter(member => phases.includes(member.phase)).length;
    return {
        pool,
        planned: state.configuration?.value.pools.find(candidate => candidate.name === pool)?.instances ?? 0,
        active: count([fleetState.Phase.active]),
        draining: count([fleetState.Phase.draining, fleetState.Phase.released]),
        stopped: count([fleetState.Phase.stopped]),
        unhealthy: members.filter(member => ejected.has(member.instance.name) || member.failedReturn).length,
    };
}

function describeEntry(entryWithVerdict: fleetView.EntryWithVerdict): schema.operator.LogEntry {
    const body = entryWithVerdict.entry.body;
    return {
        offset: entryWithVerdict.entry.offset,
        appendedAt: entryWithVerdict.entry.appendedAt,
        body: typeof body === "object" ? body as schema.operator.LogEntry["body"] : { value: body },
        verdict: entryWithVerdict.verdict.applied ? "applied" : entryWithVerdict.verdict.ignored ?? "ignored",
    };
}

function explainInstance(
    state: fleetState.FleetState,
    instance: fleetState.InstanceState,
    ejected: boolean,
): string[] {
    const { home, nextHome, drain } = instance;
    const homeEntry = home === undefined ? undefined : state.sessions.get(home)?.entry;
    return [
        `It belongs to pool ${instance.pool} and is ${instance.phase}.`,
        homeEntry === undefined ? "No entry instance sends it work." : `Only ${homeEntry} (${home}) sends it work.`,
        ...(nextHome === undefined ? [] : [`Its home passes to ${nextHome} when its requests have ended.`]),
        ...(drain === undefined ? [] : [explainPurpose(drain.purpose)]),
        ...(ejected ? ["It gets no work because it fails what it starts."] : []),
        ...(instance.failedReturn ? ["It did not come back healthy from its last reboot."] : []),
    ];
}

function explainPurpose(purpose: schema.log.DrainPurpose): string {
    return purpose.kind === "move"
        ? `It is drained in order to move to pool ${purpose.pool}.`
        : `It is drained for the planned stop ${purpose.stop}.`;
}

function readNumber(text: unknown): number | undefined {
    return typeof text === "string" && /^[0-9]{1,15}$/.test(text) ? Number(text) : undefined;
}
