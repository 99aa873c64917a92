/**
 * Open-loop load generator: calls start at their scheduled time, whether or not earlier calls have ended.
 */
import * as schema from "@catkinwharf/schema";
import * as callRecord from "./call-record.js";
import * as caller from "./caller.js";
import * as randomSource from "./random-source.js";

/** Load of the services over time. */
export interface LoadShape {
    /** Share of the pool's slots that the mean load keeps busy. */
    readonly meanUtilization: number;
    /** Duration of a burst in ms; 0 for steady load. */
    readonly burstMs: number;
    /** Load in a burst, as a multiple of the mean. */
    readonly burstFactor: number;
    /** Load between bursts, as a multiple of the mean. */
    readonly idleFactor: number;
    /** Pause in ms between the bursts of two services; 0 if absent. */
    readonly gapMs?: number;
}

export const steadyShape: LoadShape = { meanUtilization: 0.3, burstMs: 0, burstFactor: 1, idleFactor: 1 };
/** Bursts as the requirements specify them: to five times the mean, in turn, and a twentieth of it in between. */
export const burstShape: LoadShape = { meanUtilization: 0.5, burstMs: 4_000, burstFactor: 5, idleFactor: 0.05 };

export interface LoadOptions {
    readonly deployment: schema.settings.Deployment;
    readonly shape: LoadShape;
    readonly seed: number;
    readonly durationMs: number;
    readonly timeoutMs: number;
    readonly caller: caller.Caller;
    /** Factor by which all call rates are multiplied. */
    readonly scale: number;
}

/** Interval in ms between checks for calls that are due. */
const pollIntervalMs = 1;
/** Urgencies that calls draw from: urgent previews, ordinary work, overnight batches. */
const urgencies = [1, 3, 3, 3, 6];

/** Runs the load and resolves with all calls once the last one has ended. */
export async function runLoad(options: LoadOptions): Promise<readonly callRecord.Call[]> {
    const random = new randomSource.RandomSource(options.seed);
    const startedAt = performance.now();
    const wallClockOffset = Date.now() - startedAt;
    const schedules = options.deployment.services.map((service, index) => ({ service, index, nextAt: 0 }));
    const running: Promise<callRecord.Call>[] = [];
    for (let at = 0; at < options.durationMs; at = performance.now() - startedAt) {
        for (const schedule of schedules) {
            while (schedule.nextAt <= at) {
                const dueAt = startedAt + schedule.nextAt + wallClockOffset;
                running.push(options.caller.call(planCall(options, schedule.service, random, running.length, dueAt)));
                schedule.nextAt = drawNextTime(options, schedule.service, schedule.index, schedule.nextAt, random);
            }
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
    return Promise.all(running);
}

/** Computes the scale at which the mean rate over all services is `callsPerSecond`, for a shape without gaps. */
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

/** Mean load factor over time and services, for a shape without gaps. */
function computeMeanFactor(shape: LoadShape, services: number): number {
    return shape.burstMs === 0 ? 1 : (shape.burstFactor + shape.idleFactor * (services - 1)) / services;
}

/**
 * Draws the time in ms of a service's next call. If it falls after the next change of the rate, it is drawn again from
 * the time of the change, with the new rate.
 */
function drawNextTime(
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
        const factor = computeLoadFactor(shape, index, deployment.services.length, from);
        const next = from + random.nextExponential(1 / (meanPerMs * factor));
        const rateChange = findNextRateChange(shape, from);
        if (next < rateChange) {
            return next;
        }
        from = rateChange;
    }
}

/** Finds the time in ms of the next change of the rates. */
function findNextRateChange(shape: LoadShape, at: number): number {
    if (shape.burstMs === 0) {
        return Number.POSITIVE_INFINITY;
    }
    const periodMs = shape.burstMs + (shape.gapMs ?? 0);
    const period = Math.floor(at / periodMs);
    const burstEnd = period * periodMs + shape.burstMs;
    return at < burstEnd ? burstEnd : (period + 1) * periodMs;
}

/** Computes a service's load at a time, as a multiple of its mean. */
export function computeLoadFactor(shape: LoadShape, index: number, services: number, at: number): number {
    if (shape.burstMs === 0) {
        return 1;
    }
    return findBurstingService(shape, services, at) === index ? shape.burstFactor : shape.idleFactor;
}

/** Finds the index of the service that bursts at a time; undefined between bursts. Services burst in turn. */
export function findBurstingService(shape: LoadShape, services: number, at: number): number | undefined {
    if (shape.burstMs === 0) {
        return undefined;
    }
    const periodMs = shape.burstMs + (shape.gapMs ?? 0);
    return at % periodMs < shape.burstMs ? Math.floor(at / periodMs) % services : undefined;
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
