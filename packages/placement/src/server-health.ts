/**
 * Health state of one backend server: recent outcomes, ejection, probing and recovery.
 */

/** A failed attempt on a server. */
export interface Failure {
    readonly requestId: string;
    /** Weight in the decision to eject the server, from 0 to 1. */
    readonly weight: number;
    /** Clock time in ms. */
    readonly at: number;
}

/** Phase of the health state machine. */
export const HealthPhase = {
    /** May use all its slots. */
    healthy: "healthy",
    /**
     * May use no slot until `ejectedUntil`, and then (when `capped`, from the start) the share `probeShare` of them.
     */
    ejected: "ejected",
    /** A probe succeeded at `recoveredAt`; the share increases gradually. */
    recovering: "recovering",
} as const;

export type HealthPhase = (typeof HealthPhase)[keyof typeof HealthPhase];

/** State of one server. */
export interface ServerHealth {
    phase: HealthPhase;
    /** Failures since the last success, oldest first, up to a maximum number. */
    consecutiveFailures: Failure[];
    /** Failures and the times of successes within the window, oldest first. */
    failures: Failure[];
    successes: number[];
    ejectedUntil: number;
    recoveredAt: number;
    /** Number of ejections since the last full recovery. */
    ejections: number;
    /** Whether the pool's ejection cap prevents taking the server out of use. */
    capped: boolean;
}

/** Total weight of consecutive failures that causes an ejection. */
const maxConsecutiveWeight = 5;
/** Window of the failure ratio, in ms. */
const windowMs = 30_000;
/** Maximum number of failures, of successes and of consecutive failures kept for each server. */
const maxKeptOutcomes = 100;
/** Number of outcomes in the window from which the failure ratio can cause an ejection. */
const minOutcomesForRatio = 20;
/** Excess over the failure ratio of the other servers of the pool that causes an ejection. */
const maxExcessRatio = 0.4;
/** Failure ratio of the other servers from which the fault is attributed to the whole pool and not to the server. */
const maxOthersRatio = 0.5;
/** Total weight of failures that ends probing or recovery. */
const maxProbeWeight = 0.5;
const baseEjectionMs = 5000;
const maxEjectionMs = 120_000;
/** Share of its slots that a probed server may use. */
const probeShare = 0.125;
/** Time from the first successful probe to the full share, in ms. */
const slowStartMs = 10_000;

/** Initial state of a server without recorded outcomes. */
export function createServerHealth(): ServerHealth {
    return {
        phase: HealthPhase.healthy,
        consecutiveFailures: [],
        failures: [],
        successes: [],
        ejectedUntil: 0,
        recoveredAt: 0,
        ejections: 0,
        capped: false,
    };
}

/** Records a success. A late response to an attempt made before an ejection doesn't shorten the ejection. */
export function addSuccess(server: ServerHealth, now: number): void {
    server.consecutiveFailures = [];
    server.successes.push(now);
    trimWindow(server, now);
    if (server.phase === HealthPhase.ejected && (server.capped || now >= server.ejectedUntil)) {
        server.phase = HealthPhase.recovering;
        server.recoveredAt = now;
        // The failures before the ejection must not count after the recovery.
        server.failures = [];
        server.capped = false;
    }
    if (server.phase === HealthPhase.recovering && now - server.recoveredAt >= slowStartMs) {
        server.phase = HealthPhase.healthy;
        server.ejections = 0;
    }
}

/** Records a failure. */
export function addFailure(server: ServerHealth, failure: Failure): void {
    server.consecutiveFailures.push(failure);
    if (server.consecutiveFailures.length > maxKeptOutcomes) {
        server.consecutiveFailures.shift();
    }
    server.failures.push(failure);
    trimWindow(server, failure.at);
}

/** Removes the failures of a request, and lifts the ejection when no other failure is left. */
export function removeFailures(server: ServerHealth, requestId: string): void {
    server.consecutiveFailures = server.consecutiveFailures.filter(failure => failure.requestId !== requestId);
    server.failures = server.failures.filter(failure => failure.requestId !== requestId);
    if (server.phase === HealthPhase.ejected && server.failures.length === 0) {
        server.phase = HealthPhase.healthy;
        server.capped = false;
        server.ejections = Math.max(0, server.ejections - 1);
    }
}

/** Whether the server's failures justify an ejection, given the failure ratio of the other servers of its pool. */
export function shouldEject(server: ServerHealth, othersRatio: number, now: number): boolean {
    if (server.phase === HealthPhase.ejected && !server.capped && now < server.ejectedUntil) {
        return false;
    }
    const consecutiveWeight = server.consecutiveFailures.reduce((sum, failure) => sum + failure.weight, 0);
    if (server.phase !== HealthPhase.healthy) {
        return consecutiveWeight >= maxProbeWeight;
    }
    if (othersRatio >= maxOthersRatio) {
        return false;
    }
    const outcomes = server.failures.length + server.successes.length;
    const excess = computeFailureRatio(server, now) - othersRatio;
    return consecutiveWeight >= maxConsecutiveWeight || (outcomes >= minOutcomesForRatio && excess >= maxExcessRatio);
}

/**
 * Ejects the server, for a longer time with each ejection. If the pool's cap is reached, the server stays in use with
 * the smallest share.
 */
export function eject(server: ServerHealth, isBelowCap: boolean, now: number): void {
    // A capped server stays in use, so further failures eject it again; these don't lengthen its ejection time.
    if (!server.capped) {
        server.ejections++;
    }
    const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** Math.max(0, server.ejections - 1));
    server.phase = HealthPhase.ejected;
    server.ejectedUntil = now + ejectionMs;
    server.capped = !isBelowCap;
    // The failures stay: removeFailures lifts the ejection when they are discarded.
    server.successes = [];
}

/** Whether the server is ejected, including while it is probed or stays in use because of the cap. */
export function isEjectedOrProbed(server: ServerHealth): boolean {
    return server.phase === HealthPhase.ejected;
}

/** Weighted ratio of failures to all outcomes in the window; 0 without failures. */
export function computeFailureRatio(server: ServerHealth, now: number): number {
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

/** Share of its slots that the server may use now. */
export function computeShare(server: ServerHealth, now: number): number {
    return shares[server.phase](server, now);
}

/** Removes outcomes that are too old or too many. They are in order of time, so these come first. */
function trimWindow(server: ServerHealth, now: number): void {
    while (server.failures.length > maxKeptOutcomes || now - (server.failures[0]?.at ?? now) > windowMs) {
        server.failures.shift();
    }
    while (server.successes.length > maxKeptOutcomes || now - (server.successes[0] ?? now) > windowMs) {
        server.successes.shift();
    }
}
