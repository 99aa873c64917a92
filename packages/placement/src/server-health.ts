/**
 * Recent outcomes of one backend server and its way from use to ejection, probe and back.
 */

/** Evidence against a server. */
export interface Failure {
    readonly requestId: string;
    readonly weight: number;
    /** Clock time in ms. */
    readonly at: number;
}

/** Where a server stands. */
export const HealthPhase = {
    /** In full use. */
    healthy: "healthy",
    /** Ejected until `ejectedUntil`, probed from then on. */
    ejected: "ejected",
    /** A probe succeeded at `recoveredAt`; its share grows. */
    recovering: "recovering",
} as const;

export type HealthPhase = (typeof HealthPhase)[keyof typeof HealthPhase];

/** State of one server. */
export interface ServerHealth {
    phase: HealthPhase;
    /** Failures since the last success, oldest first. */
    failuresInRow: Failure[];
    /** Failures and successes of the window. */
    failures: Failure[];
    successes: number[];
    ejectedUntil: number;
    recoveredAt: number;
    /** Ejections without full recovery between them. */
    ejections: number;
    /** Whether the cap of the pool forbids to take it out of use. */
    capped: boolean;
}

/** Weight of failures in a row that ejects. */
const maxWeightInRow = 5;
/** Window of the failure ratio, in ms, and its bounds. */
const windowMs = 30_000;
const maxWindowOutcomes = 100;
const minWindowOutcomes = 20;
/** Excess over the failure ratio of the rest of the pool that ejects. */
const maxExcessRatio = 0.4;
/** Above this failure ratio of the rest, the pool and not the server is at fault. */
const maxRestRatio = 0.5;
/** Weight of failures that ends a probe or a recovery. */
const maxProbeWeight = 0.5;
const baseEjectionMs = 5000;
const maxEjectionMs = 120_000;
/** Share of a probed server. */
const probeShare = 0.125;
/** Time from the first success to full use, in ms. */
const slowStartMs = 10_000;

/** A server about which nothing is known. */
export function createServerHealth(): ServerHealth {
    return {
        phase: HealthPhase.healthy,
        failuresInRow: [],
        failures: [],
        successes: [],
        ejectedUntil: 0,
        recoveredAt: 0,
        ejections: 0,
        capped: false,
    };
}

/** Counts a success. While the server is ejected, late answers of earlier attempts don't end the back-off. */
export function addSuccess(server: ServerHealth, now: number): void {
    server.failuresInRow = [];
    server.successes.push(now);
    trimWindow(server, now);
    if (server.phase === HealthPhase.ejected && (server.capped || now >= server.ejectedUntil)) {
        server.phase = HealthPhase.recovering;
        server.recoveredAt = now;
        server.failures = [];
        server.capped = false;
    }
    if (server.phase === HealthPhase.recovering && now - server.recoveredAt >= slowStartMs) {
        server.phase = HealthPhase.healthy;
        server.ejections = 0;
    }
}

/** Counts a failure. */
export function addFailure(server: ServerHealth, failure: Failure): void {
    server.failuresInRow.push(failure);
    if (server.failuresInRow.length > maxWindowOutcomes) {
        server.failuresInRow.shift();
    }
    server.failures.push(failure);
    trimWindow(server, failure.at);
}

/** Takes back the failures of a request, and the ejection when nothing else speaks for it. */
export function removeFailures(server: ServerHealth, requestId: string): void {
    server.failuresInRow = server.failuresInRow.filter(failure => failure.requestId !== requestId);
    server.failures = server.failures.filter(failure => failure.requestId !== requestId);
    if (server.phase === HealthPhase.ejected && server.failures.length === 0) {
        server.phase = HealthPhase.healthy;
        server.capped = false;
        server.ejections = Math.max(0, server.ejections - 1);
    }
}

/** Whether the server's failures speak for an ejection, given the failure ratio of the rest of its pool. */
export function isSuspect(server: ServerHealth, restRatio: number, now: number): boolean {
    if (server.phase === HealthPhase.ejected && !server.capped && now < server.ejectedUntil) {
        return false;
    }
    const weightInRow = server.failuresInRow.reduce((sum, failure) => sum + failure.weight, 0);
    if (server.phase !== HealthPhase.healthy) {
        return weightInRow >= maxProbeWeight;
    }
    if (restRatio >= maxRestRatio) {
        return false;
    }
    const outcomes = server.failures.length + server.successes.length;
    const excess = measureFailureRatio(server, now) - restRatio;
    return weightInRow >= maxWeightInRow || (outcomes >= minWindowOutcomes && excess >= maxExcessRatio);
}

/** Ejects the server, with a longer back-off each time; without room under the cap it keeps its smallest share. */
export function eject(server: ServerHealth, hasRoom: boolean, now: number): void {
    if (!server.capped) {
        server.ejections++;
    }
    const backoffMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** Math.max(0, server.ejections - 1));
    server.phase = HealthPhase.ejected;
    server.ejectedUntil = now + backoffMs;
    server.capped = !hasRoom;
    server.successes = [];
}

/** Whether the server is out of use or probed. */
export function isResting(server: ServerHealth): boolean {
    return server.phase === HealthPhase.ejected;
}

/** Weighted share of failures in the window: 0 when nothing was observed. */
export function measureFailureRatio(server: ServerHealth, now: number): number {
    const weight = server.failures
        .filter(failure => now - failure.at <= windowMs)
        .reduce((sum, failure) => sum + failure.weight, 0);
    const successes = server.successes.filter(at => now - at <= windowMs).length;
    return weight === 0 ? 0 : weight / (weight + successes);
}

const shares: Readonly<Record<HealthPhase, (server: ServerHealth, now: number) => number>> = {
    [HealthPhase.healthy]: () => 1,
    [HealthPhase.ejected]: (server, now) => server.capped || now >= server.ejectedUntil ? probeShare : 0,
    [HealthPhase.recovering]: (server, now) => {
        const progress = Math.min(1, Math.max(0, (now - server.recoveredAt) / slowStartMs));
        return probeShare + (1 - probeShare) * progress;
    },
};

/** Share of its slots that the server may use. */
export function computeShare(server: ServerHealth, now: number): number {
    return shares[server.phase](server, now);
}

/** Outcomes are in order of time, so that only the first ones can be too old or too many. */
function trimWindow(server: ServerHealth, now: number): void {
    while (server.failures.length > maxWindowOutcomes || now - (server.failures[0]?.at ?? now) > windowMs) {
        server.failures.shift();
    }
    while (server.successes.length > maxWindowOutcomes || now - (server.successes[0] ?? now) > windowMs) {
        server.successes.shift();
    }
}
