/**
 * Open-loop load: calls start when the schedule says so, whether or not earlier ones have ended.
 */
import * as schema from "@catkinwharf/schema";
import * as callRecord from "./call-record.js";
import * as caller from "./caller.js";
import * as randomSource from "./random-source.js";

/** How a service's load goes over time. */
export interface LoadShape {
    /** Share of the pool's slots that the mean load keeps busy. */
    readonly meanUtilization: number;
    /** Length of a burst in ms; 0 for steady load. */
    readonly burstMs: number;
    /** Load in a burst, as a multiple of the mean. */
    readonly burstFactor: number;
    /** Load between bursts, as a multiple of the mean. */
    readonly quietFactor: number;
    /** Time in ms between two bursts in which no service bursts; 0 if absent. */
    readonly gapMs?: number;
}

export const steadyShape: LoadShape = { meanUtilization: 0.3, burstMs: 0, burstFactor: 1, quietFactor: 1 };
/** The brief's shape: each service in turn bursts to five times its mean, and falls to a twentieth in between. */
export const burstShape: LoadShape = { meanUtilization: 0.5, burstMs: 4_000, burstFactor: 5, quietFactor: 0.05 };

export interface LoadOptions {
    readonly deployment: schema.settings.Deployment;
    readonly shape: LoadShape;
    readonly seed: number;
    readonly durationMs: number;
    readonly timeoutMs: number;
    readonly caller: caller.Caller;
    /** Factor on all rates. */
    readonly scale: number;
}

/** Time in ms between looks at the schedule. */
const stepMs = 1;
/** Urgencies of calls: urgent previews, ordinary work, overnight batches. */
const urgencies = [1, 3, 3, 3, 6];

/** Runs the load and resolves with every call once all have ended. */
export async function runLoad(options: LoadOptions): Promise<readonly callRecord.Call[]> {
    const random = new randomSource.RandomSource(options.seed);
    const startedAt = performance.now();
    const wallOffset = Date.now() - startedAt;
    const streams = options.deployment.services.map((service, index) => ({ service, index, nextAt: 0 }));
    const running: Promise<callRecord.Call>[] = [];
    for (let at = 0; at < options.durationMs; at = performance.now() - startedAt) {
        for (const stream of streams) {
            while (stream.nextAt <= at) {
                const dueAt = startedAt + stream.nextAt + wallOffset;
                running.push(options.caller.call(planCall(options, stream.service, random, running.length, dueAt)));
                stream.nextAt = drawNext(options, stream.service, stream.index, stream.nextAt, random);
            }
        }
        await new Promise(resolve => setTimeout(resolve, stepMs));
    }
    return Promise.all(running);
}

/** Scale at which the mean rate over all services is `callsPerSecond`. */
export function computeScale(
    deployment: schema.settings.Deployment,
    shape: LoadShape,
    callsPerSecond: number,
): number {
    const perSecond = deployment.services.reduce((sum, service) => {
        const slots = service.workers * deployment.worker.slots;
        return sum + (slots * shape.meanUtilization * 1_000) / service.meanServiceMs;
    }, 0);
    return callsPerSecond / (perSecond * computeMeanFactor(shape, deployment.services.length));
}

/** Mean over time of the factors that the shape applies. */
function computeMeanFactor(shape: LoadShape, services: number): number {
    return shape.burstMs === 0 ? 1 : (shape.burstFactor + shape.quietFactor * (services - 1)) / services;
}

/** Draws the time in ms of a service's next call. A gap that reaches beyond a change of the rate is drawn anew from there. */
function drawNext(
    options: LoadOptions,
    service: schema.settings.DeploymentService,
    index: number,
    at: number,
    random: randomSource.RandomSource,
): number {
    const { shape, deployment } = options;
    const slots = service.workers * deployment.worker.slots;
    const meanPerMs = (slots * shape.meanUtilization * options.scale) / service.meanServiceMs;
    let from = at;
    for (;;) {
        const factor = readFactor(shape, index, deployment.services.length, from);
        const next = from + random.nextExponential(1 / (meanPerMs * factor));
        const change = findChange(shape, from);
        if (next < change) {
            return next;
        }
        from = change;
    }
}

/** Time in ms at which the rates change next. */
function findChange(shape: LoadShape, at: number): number {
    if (shape.burstMs === 0) {
        return Number.POSITIVE_INFINITY;
    }
    const turnMs = shape.burstMs + (shape.gapMs ?? 0);
    const turn = Math.floor(at / turnMs);
    const burstEnd = turn * turnMs + shape.burstMs;
    return at < burstEnd ? burstEnd : (turn + 1) * turnMs;
}

/** Services burst in turn. */
export function readFactor(shape: LoadShape, index: number, services: number, at: number): number {
    if (shape.burstMs === 0) {
        return 1;
    }
    return findBursting(shape, services, at) === index ? shape.burstFactor : shape.quietFactor;
}

/** Index of the service that bursts at a time; undefined between bursts. */
export function findBursting(shape: LoadShape, services: number, at: number): number | undefined {
    if (shape.burstMs === 0) {
        return undefined;
    }
    const turnMs = shape.burstMs + (shape.gapMs ?? 0);
    return at % turnMs < shape.burstMs ? Math.floor(at / turnMs) % services : undefined;
}

function planCall(
    options: LoadOptions,
    service: schema.settings.DeploymentService,
    random: randomSource.RandomSource,
    sequence: number,
    dueAt: number,
): caller.PlannedCall {
    const id = `${options.seed}-${sequence}`;
    const idempotent = random.next() < service.idempotentShare;
    const runMs = Math.max(1, Math.round(random.nextExponential(service.meanServiceMs)));
    return {
        id,
        service: service.name,
        method: idempotent ? "GET" : "POST",
        key: idempotent ? undefined : `key-${id}`,
        urgency: random.pick(urgencies),
        timeoutMs: options.timeoutMs,
        fields: { "stand-in-service-ms": String(runMs) },
        runMs,
        dueAt,
    };
}
