/**
 * Generates random histories of the fleet stream and tests their coverage. Each author acts on a view that may be some
 * entries old, so that authors race. Some records are appended twice, some entries are read twice, and some bodies are
 * arbitrary values.
 */
import type * as schema from "@catkinwharf/schema";
import * as fc from "fast-check";
import * as process from "node:process";
import * as url from "node:url";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as idWindow from "./id-window.js";
import * as fleetState from "./index.js";
import * as records from "./records.test.js";

type Body = records.Body;
type Kind = schema.log.FleetRecord["kind"];

interface Intent {
    readonly action: keyof typeof actions;
    readonly session: number;
    readonly other: number;
    readonly instance: number;
    /** Number of entries by which the author's view is behind. */
    readonly delay: number;
    /** Error of the epoch, generation, version or offset that the record names. */
    readonly versionError: number;
    readonly arbitraryBody: unknown;
}

export interface Step {
    readonly entry: fleetState.LogEntry;
    readonly before: fleetState.FleetState;
    readonly after: fleetState.FleetState;
    readonly verdict: fleetState.Verdict;
    readonly record: schema.log.FleetRecord | undefined;
}

const seed = 20261204;
const numRuns = 300;
/** Parameters of every property test. */
export const parameters = { seed, numRuns };
const pools = ["red", "blue", "spare"];
const zones = ["a", "b"];
process.stdout.write(`fast-check seed ${seed}, ${numRuns} runs\n`);

function findOpenSession(view: fleetState.FleetState, index: number): string {
    return [...view.sessions.keys()].find(name => name.startsWith(`s${index}.`)) ?? `s${index}.0`;
}

/** Session name that is not closed in the view. */
function createSessionName(view: fleetState.FleetState, index: number): string {
    const closedNames = idWindow.listIds(view.closedSessions).filter(name => name.startsWith(`s${index}.`));
    return `s${index}.${closedNames.length}`;
}

function coordinatorRecord(view: fleetState.FleetState, intent: Intent, kind: Kind, body: Body): Body {
    const author = view.lease.session ?? findOpenSession(view, intent.session);
    return {
        kind,
        author,
        epoch: Math.max(0, view.lease.epoch - intent.versionError),
        instance: `i${intent.instance}`,
        ...body,
    };
}

function leaseRecord(view: fleetState.FleetState, kind: Kind): Body {
    const session = view.lease.session ?? "s0.0";
    return { kind, author: session, session, epoch: view.lease.epoch };
}

/** Record of the home or coordinator that takes the instance to its next phase. */
function advance(view: fleetState.FleetState, intent: Intent): Body {
    const instance = view.instances.get(`i${intent.instance}`);
    const drain = instance?.drain?.id ?? "none";
    const steps: Record<fleetState.Phase, () => Body> = {
        active: () => instance?.nextHome === undefined ? actions.drain(view, intent) : actions.release(view, intent),
        draining: () => actions.release(view, intent),
        released: () =>
            coordinatorRecord(
                view,
                intent,
                instance?.drain?.purpose.kind === "stop" ? "instance-stopped" : "move-committed",
                {
                    drain,
                },
            ),
        stopped: () => coordinatorRecord(view, intent, "instance-returned", { drain, healthy: intent.other > 0 }),
    };
    return steps[instance?.phase ?? "active"]();
}

const actions = {
    advance,
    open: (view: fleetState.FleetState, intent: Intent): Body =>
        records.open(createSessionName(view, intent.session), zones[intent.session % 2]),
    renew: (view: fleetState.FleetState, intent: Intent): Body => records.renew(findOpenSession(view, intent.session)),
    close: (view: fleetState.FleetState, intent: Intent): Body => {
        const session = findOpenSession(view, intent.session);
        const reason = ["goodbye", "fenced", "operator"][intent.instance % 3] ?? "fenced";
        const observed = (view.sessions.get(session)?.renewalOffset ?? 0) + intent.versionError;
        return records.close(
            session,
            observed,
            reason,
            reason === "goodbye" ? session : findOpenSession(view, intent.other),
        );
    },
    acquire: (view: fleetState.FleetState, intent: Intent): Body =>
        records.acquire(findOpenSession(view, intent.session), view.lease.offset - intent.versionError),
    renewLease: (view: fleetState.FleetState): Body => leaseRecord(view, "lease-renewed"),
    releaseLease: (view: fleetState.FleetState): Body => leaseRecord(view, "lease-released"),
    register: (view: fleetState.FleetState, intent: Intent): Body => {
        const pool = pools[intent.other % 3];
        const zone = zones[(intent.instance + Math.floor(intent.session / 3)) % 2];
        const { instance } = records.register(`i${intent.instance}`, pool, zone);
        return coordinatorRecord(view, intent, "instance-registered", {
            instance: { ...instance as Body, rack: "rack" },
            pool,
        });
    },
    unregister: (view: fleetState.FleetState, intent: Intent): Body =>
        coordinatorRecord(view, intent, "instance-unregistered", {}),
    drain: (view: fleetState.FleetState, intent: Intent): Body => {
        const stop = [...view.stops.keys()].at(-1) ?? "none";
        const purpose = intent.session % 2 === 0
            ? { kind: "move", pool: pools[intent.other % 3] }
            : { kind: "stop", stop };
        return coordinatorRecord(view, intent, "drain-started", {
            drain: `d${view.nextOffset}`,
            purpose,
            startedAt: 0,
        });
    },
    /** Completes a step of the drain, whatever the phase of the instance. */
    drainStep: (view: fleetState.FleetState, intent: Intent): Body => {
        const kinds = ["move-committed", "instance-stopped", "instance-returned"] as const;
        const kind = kinds[intent.session % 3] ?? "move-committed";
        const drain = view.instances.get(`i${intent.instance}`)?.drain?.id ?? "none";
        return coordinatorRecord(
            view,
            intent,
            kind,
            kind === "instance-returned" ? { drain, healthy: true } : { drain },
        );
    },
    cancelDrain: (view: fleetState.FleetState, intent: Intent): Body => {
        const drain = view.instances.get(`i${intent.instance}`)?.drain?.id ?? "none";
        return coordinatorRecord(view, intent, "drain-cancelled", { drain });
    },
    release: (view: fleetState.FleetState, intent: Intent): Body => {
        const instance = view.instances.get(`i${intent.instance}`);
        const generation = Math.max(0, (instance?.generation ?? 1) - intent.versionError);
        return records.release(
            `i${intent.instance}`,
            generation,
            instance?.home ?? findOpenSession(view, intent.session),
        );
    },
    announce: (view: fleetState.FleetState, intent: Intent): Body =>
        records.announce(`stop-${view.stops.size}`, { availabilityZones: [zones[intent.other % 2]] }),
    cancelStop: (view: fleetState.FleetState): Body => ({
        kind: "stop-cancelled",
        author: "operator",
        stop: [...view.stops.keys()].at(-1) ?? "none",
    }),
    profile: (view: fleetState.FleetState, intent: Intent): Body =>
        records.publishProfile(Math.max(0, (view.profiles.get("steady")?.version ?? 0) - intent.versionError)),
    configure: (view: fleetState.FleetState, intent: Intent): Body =>
        records.configure(Math.max(0, (view.configuration?.version ?? 0) - intent.versionError)),
    arbitrary: (_view: fleetState.FleetState, intent: Intent): Body => intent.arbitraryBody as Body,
};

const frequentActions = ["advance", "advance", "advance", "advance", "advance", "release", "open", "acquire"] as const;
export const intentLists = fc.array(
    fc.record({
        action: fc.constantFrom(...frequentActions, ...(Object.keys(actions) as (keyof typeof actions)[])),
        session: fc.nat(3),
        other: fc.nat(3),
        instance: fc.nat(3),
        delay: fc.constantFrom(0, 0, 0, 0, 0, 1, 4, 12),
        versionError: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 1),
        arbitraryBody: fc.anything(),
    }),
    { minLength: 20, maxLength: 120, size: "max" },
);

const defaults = { other: 0, delay: 0, versionError: 0, arbitraryBody: undefined };
const setupIntents: readonly Intent[] = [
    ...(["profile", "configure", "open", "acquire"] as const).map(action => ({
        action,
        session: 0,
        instance: 0,
        ...defaults,
    })),
    ...[1, 2].map(session => ({ action: "open" as const, session, instance: 0, ...defaults })),
    ...[0, 1, 2, 3].map(instance => ({ action: "register" as const, session: 0, instance, ...defaults })),
];

/**
 * Applies the records of the intents. After every 11th intent an earlier record is appended again under a new offset,
 * after every 13th an earlier entry is read a second time.
 */
export function runIntents(list: readonly Intent[]): Step[] {
    const steps: Step[] = [];
    const push = (entry: fleetState.LogEntry) => {
        const before = steps.at(-1)?.after ?? fleetState.emptyFleetState;
        const result = fleetState.applyEntry(before, entry);
        steps.push({ entry, before, after: result.state, verdict: result.verdict, record: result.record });
    };
    for (const [index, intent] of [...setupIntents, ...list].entries()) {
        const view = steps.at(-1 - intent.delay)?.after ?? fleetState.emptyFleetState;
        const createdBody = actions[intent.action](view, intent);
        const body = intent.action === "arbitrary" ? createdBody : { id: `r${index}`, ...createdBody };
        const offset = (steps.at(-1)?.after ?? fleetState.emptyFleetState).nextOffset;
        push({ offset, appendedAt: offset * 10, body });
        if (index % 11 === 10) {
            push({ offset: offset + 1, appendedAt: offset * 10, body: steps[steps.length >> 1]?.entry.body });
        }
        if (index % 13 === 12) {
            push(steps[steps.length >> 1]?.entry ?? { offset: 0, appendedAt: 0, body });
        }
    }
    return steps;
}

const suite = uvu.suite("histories");

suite("the histories cover every record kind and most reasons for ignoring a record", () => {
    const steps = fc.sample(intentLists, parameters).flatMap(runIntents);
    const kinds = new Set(steps.filter(step => step.verdict.applied).map(step => step.record?.kind));
    const reasons = new Set(steps.map(step => step.verdict.ignored).filter(reason => reason !== undefined));
    assert.is(kinds.size, 18, [...kinds].join(", "));
    assert.ok(reasons.size >= 16, [...reasons].join(", "));
});

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
    suite.run();
}
