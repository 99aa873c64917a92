/**
 * Arbitrary histories of the fleet stream, and a check of how far they reach. Each author decides on a view that may be some entries old, so
 * that authors race; entries are repeated, read again, and mixed with garbage.
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
    readonly act: keyof typeof acts;
    readonly session: number;
    readonly other: number;
    readonly instance: number;
    /** Entries that the author's view is behind. */
    readonly delay: number;
    readonly flaw: number;
    readonly noise: unknown;
}

export interface Step {
    readonly entry: fleetState.LogEntry;
    readonly before: fleetState.FleetState;
    readonly after: fleetState.FleetState;
    readonly verdict: fleetState.Verdict;
    readonly record: schema.log.FleetRecord | undefined;
}

const seed = 20261204;
const runs = 300;
/** Of every property test. */
export const parameters = { seed, numRuns: runs };
const pools = ["red", "blue", "spare"];
const zones = ["a", "b"];
process.stdout.write(`fast-check seed ${seed}, ${runs} runs\n`);

function findOpen(view: fleetState.FleetState, index: number): string {
    return [...view.sessions.keys()].find(name => name.startsWith(`s${index}.`)) ?? `s${index}.0`;
}

/** A life that was not closed yet as far as the view knows. */
function nameNext(view: fleetState.FleetState, index: number): string {
    const lives = idWindow.listIds(view.closedSessions).filter(name => name.startsWith(`s${index}.`));
    return `s${index}.${lives.length}`;
}

function decide(view: fleetState.FleetState, intent: Intent, kind: Kind, body: Body): Body {
    const author = view.lease.session ?? findOpen(view, intent.session);
    return {
        kind,
        author,
        epoch: Math.max(0, view.lease.epoch - intent.flaw),
        instance: `i${intent.instance}`,
        ...body,
    };
}

function lease(view: fleetState.FleetState, kind: Kind): Body {
    const session = view.lease.session ?? "s0.0";
    return { kind, author: session, session, epoch: view.lease.epoch };
}

/** The next step on the instance's way, as its home or the coordinator sees it. */
function advance(view: fleetState.FleetState, intent: Intent): Body {
    const instance = view.instances.get(`i${intent.instance}`);
    const drain = instance?.drain?.id ?? "none";
    const steps: Record<fleetState.Phase, () => Body> = {
        active: () => instance?.nextHome === undefined ? acts.drain(view, intent) : acts.release(view, intent),
        draining: () => acts.release(view, intent),
        released: () =>
            decide(view, intent, instance?.drain?.purpose.kind === "stop" ? "instance-stopped" : "move-committed", {
                drain,
            }),
        stopped: () => decide(view, intent, "instance-returned", { drain, healthy: intent.other > 0 }),
    };
    return steps[instance?.phase ?? "active"]();
}

const acts = {
    advance,
    open: (view: fleetState.FleetState, intent: Intent): Body =>
        records.open(nameNext(view, intent.session), zones[intent.session % 2]),
    renew: (view: fleetState.FleetState, intent: Intent): Body => records.renew(findOpen(view, intent.session)),
    close: (view: fleetState.FleetState, intent: Intent): Body => {
        const session = findOpen(view, intent.session);
        const reason = ["goodbye", "fenced", "operator"][intent.instance % 3] ?? "fenced";
        const observed = (view.sessions.get(session)?.renewalOffset ?? 0) + intent.flaw;
        return records.close(session, observed, reason, reason === "goodbye" ? session : findOpen(view, intent.other));
    },
    acquire: (view: fleetState.FleetState, intent: Intent): Body =>
        records.acquire(findOpen(view, intent.session), view.lease.offset - intent.flaw),
    keepLease: (view: fleetState.FleetState): Body => lease(view, "lease-renewed"),
    leaveLease: (view: fleetState.FleetState): Body => lease(view, "lease-released"),
    register: (view: fleetState.FleetState, intent: Intent): Body => {
        const pool = pools[intent.other % 3];
        const zone = zones[(intent.instance + Math.floor(intent.session / 3)) % 2];
        const { instance } = records.register(`i${intent.instance}`, pool, zone);
        return decide(view, intent, "instance-registered", { instance: { ...instance as Body, rack: "rack" }, pool });
    },
    unregister: (view: fleetState.FleetState, intent: Intent): Body =>
        decide(view, intent, "instance-unregistered", {}),
    drain: (view: fleetState.FleetState, intent: Intent): Body => {
        const stop = [...view.stops.keys()].at(-1) ?? "none";
        const purpose = intent.session % 2 === 0
            ? { kind: "move", pool: pools[intent.other % 3] }
            : { kind: "stop", stop };
        return decide(view, intent, "drain-started", { drain: `d${view.nextOffset}`, purpose, startedAt: 0 });
    },
    /** A step of the drain at whatever phase. */
    rush: (view: fleetState.FleetState, intent: Intent): Body => {
        const kinds = ["move-committed", "instance-stopped", "instance-returned"] as const;
        const kind = kinds[intent.session % 3] ?? "move-committed";
        const drain = view.instances.get(`i${intent.instance}`)?.drain?.id ?? "none";
        return decide(view, intent, kind, kind === "instance-returned" ? { drain, healthy: true } : { drain });
    },
    cancelDrain: (view: fleetState.FleetState, intent: Intent): Body => {
        const drain = view.instances.get(`i${intent.instance}`)?.drain?.id ?? "none";
        return decide(view, intent, "drain-cancelled", { drain });
    },
    release: (view: fleetState.FleetState, intent: Intent): Body => {
        const instance = view.instances.get(`i${intent.instance}`);
        const generation = Math.max(0, (instance?.generation ?? 1) - intent.flaw);
        return records.release(`i${intent.instance}`, generation, instance?.home ?? findOpen(view, intent.session));
    },
    announce: (view: fleetState.FleetState, intent: Intent): Body =>
        records.announce(`stop-${view.stops.size}`, { availabilityZones: [zones[intent.other % 2]] }),
    cancelStop: (view: fleetState.FleetState): Body => ({
        kind: "stop-cancelled",
        author: "operator",
        stop: [...view.stops.keys()].at(-1) ?? "none",
    }),
    profile: (view: fleetState.FleetState, intent: Intent): Body =>
        records.publishProfile(Math.max(0, (view.profiles.get("steady")?.version ?? 0) - intent.flaw)),
    configure: (view: fleetState.FleetState, intent: Intent): Body =>
        records.configure(Math.max(0, (view.configuration?.version ?? 0) - intent.flaw)),
    garbage: (_view: fleetState.FleetState, intent: Intent): Body => intent.noise as Body,
};

const often = ["advance", "advance", "advance", "advance", "advance", "release", "open", "acquire"] as const;
export const intents = fc.array(
    fc.record({
        act: fc.constantFrom(...often, ...(Object.keys(acts) as (keyof typeof acts)[])),
        session: fc.nat(3),
        other: fc.nat(3),
        instance: fc.nat(3),
        delay: fc.constantFrom(0, 0, 0, 0, 0, 1, 4, 12),
        flaw: fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 1),
        noise: fc.anything(),
    }),
    { minLength: 20, maxLength: 120, size: "max" },
);

const plain = { other: 0, delay: 0, flaw: 0, noise: undefined };
const opening: readonly Intent[] = [
    ...(["profile", "configure", "open", "acquire"] as const).map(act => ({ act, session: 0, instance: 0, ...plain })),
    ...[1, 2].map(session => ({ act: "open" as const, session, instance: 0, ...plain })),
    ...[0, 1, 2, 3].map(instance => ({ act: "register" as const, session: 0, instance, ...plain })),
];

/** Every 11th entry repeats an earlier record under a new offset, and every 13th is read a second time. */
export function run(wanted: readonly Intent[]): Step[] {
    const steps: Step[] = [];
    const push = (entry: fleetState.LogEntry) => {
        const before = steps.at(-1)?.after ?? fleetState.emptyFleetState;
        const result = fleetState.applyEntry(before, entry);
        steps.push({ entry, before, after: result.state, verdict: result.verdict, record: result.record });
    };
    for (const [index, intent] of [...opening, ...wanted].entries()) {
        const view = steps.at(-1 - intent.delay)?.after ?? fleetState.emptyFleetState;
        const made = acts[intent.act](view, intent);
        const body = intent.act === "garbage" ? made : { id: `r${index}`, ...made };
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

suite("the histories reach every kind of record and most reasons to ignore one", () => {
    const steps = fc.sample(intents, parameters).flatMap(run);
    const kinds = new Set(steps.filter(step => step.verdict.applied).map(step => step.record?.kind));
    const reasons = new Set(steps.map(step => step.verdict.ignored).filter(reason => reason !== undefined));
    assert.is(kinds.size, 18, [...kinds].join(", "));
    assert.ok(reasons.size >= 16, [...reasons].join(", "));
});

if (process.argv[1] === url.fileURLToPath(import.meta.url)) {
    suite.run();
}
