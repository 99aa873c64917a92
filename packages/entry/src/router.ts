/**
 * Brings each request to a home of its service, here or at a peer, and repeats it where that is safe.
 */
import * as errors from "@catkinwharf/errors";
import * as placement from "@catkinwharf/placement";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as localDispatcher from "./local-dispatcher.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";

/** Time in ms that is added to a peer's time limit for the way back. */
const peerGraceMs = 250;
/** Retries a second that each service may make whatever its traffic. */
const retryFloorPerSecond = 1;
/** Tries of a request at targets that turned out to have no place for it. */
const maxReroutes = 12;

export interface RouterParts {
    readonly dispatcher: localDispatcher.LocalDispatcher;
    readonly directory: peerDirectory.PeerDirectory;
    readonly limits: schema.settings.RequestLimits;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    readonly random: () => number;
    readonly availabilityZone: string;
    /** Id of the own session. */
    readSession(): string;
}

export class Router {
    readonly #parts: RouterParts;
    readonly #budget: placement.RetryBudget;
    /** Requests handed to a peer since its newest status, by session and service; infinite after it had no place. */
    readonly #handed = new Map<string, HandedCount>();

    constructor(parts: RouterParts) {
        this.#parts = parts;
        this.#budget = new placement.RetryBudget(parts.limits.retryShare, retryFloorPerSecond);
    }

    /** Runs a request; tries again while that is safe and the budget, the attempts and the deadline allow it. */
    async run(question: request.ServiceRequest, signal: AbortSignal): Promise<request.RequestResult> {
        const progress: Progress = { tried: new Set(), attempts: 0, reroutes: 0 };
        this.#budget.recordAttempt(question.service, this.#parts.clock());
        let result = await this.#attempt(question, progress.tried, signal);
        while (!signal.aborted && isRetryable(question, result) && this.#mayRetry(question, result, progress)) {
            this.#parts.metrics.count("retries", describeResult(result));
            const backoffMs = placement.computeBackoff(progress.attempts + progress.reroutes, this.#parts.random());
            await delay(backoffMs, question.deadline, this.#parts.clock);
            result = worse(result, await this.#attempt(question, progress.tried, signal));
        }
        return result;
    }

    /** Forgets what was handed to sessions that are gone. */
    forgetGoneSessions(): void {
        for (const [key, count] of this.#handed) {
            if (this.#parts.directory.get(count.session) === undefined) {
                this.#handed.delete(key);
            }
        }
    }

    #mayRetry(question: request.ServiceRequest, result: request.RequestResult, progress: Progress): boolean {
        const refusal = isMisrouted(result)
            ? this.#refuseReroute(question, progress)
            : this.#refuseRetry(question, progress);
        if (refusal !== undefined) {
            this.#parts.metrics.count("retry_refusals", refusal);
        }
        return refusal === undefined;
    }

    /** A target without a place costs no backend server anything, so that the retry budget doesn't count it. */
    #refuseReroute(question: request.ServiceRequest, progress: Progress): string | undefined {
        progress.reroutes += 1;
        if (progress.reroutes > maxReroutes) {
            return "reroutes";
        }
        return this.#parts.clock() >= question.deadline ? "deadline" : undefined;
    }

    #refuseRetry(question: request.ServiceRequest, progress: Progress): string | undefined {
        const now = this.#parts.clock();
        progress.attempts += 1;
        if (progress.attempts >= this.#parts.limits.maxAttempts) {
            return "attempts";
        }
        if (now >= question.deadline) {
            return "deadline";
        }
        return this.#budget.tryTake(question.service, now) ? undefined : "budget";
    }

    async #attempt(
        question: request.ServiceRequest,
        tried: Set<string>,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const target = this.#chooseTarget(question.service, tried);
        if (target === undefined) {
            return request.createNotRun(types.Reason.noCapacity);
        }
        tried.add(target.session);
        return target.local ? this.#parts.dispatcher.run(question, signal) : this.#handOver(question, target, signal);
    }

    /** Targets already tried come into question only when there is no other. */
    #chooseTarget(service: string, tried: ReadonlySet<string>): placement.Target | undefined {
        const targets = this.#listTargets(service);
        const fresh = targets.filter(target => !tried.has(target.session));
        return placement.chooseTarget(fresh.length > 0 ? fresh : targets, this.#parts.random());
    }

    #listTargets(service: string): placement.Target[] {
        const own = this.#parts.dispatcher.findDigest(service);
        const local = own === undefined || own.slots === 0 ? [] : [this.#createLocalTarget(own)];
        const remote = this.#parts.directory.list().flatMap(peer => this.#createPeerTarget(peer, service));
        return [...local, ...remote];
    }

    #createLocalTarget(digest: schema.peer.Digest): placement.Target {
        return {
            session: this.#parts.readSession(),
            local: true,
            sameZone: true,
            slots: digest.slots,
            free: digest.free,
            queued: digest.queued,
        };
    }

    #createPeerTarget(peer: peerDirectory.KnownPeer, service: string): placement.Target[] {
        const digest = peer.status?.digests.find(candidate => candidate.service === service);
        if (digest === undefined || digest.slots === 0 || peer.status?.leaving || peer.link.state !== "connected") {
            return [];
        }
        const handed = this.#readHanded(peer, service);
        if (handed === Infinity) {
            return [];
        }
        return [{
            session: peer.session,
            local: false,
            sameZone: peer.availabilityZone === this.#parts.availabilityZone,
            slots: digest.slots,
            free: Math.max(0, digest.free - handed),
            queued: digest.queued + Math.max(0, handed - digest.free),
        }];
    }

    #readHanded(peer: peerDirectory.KnownPeer, service: string): number {
        const count = this.#handed.get(handedKey(peer.session, service));
        return count !== undefined && count.since === peer.statusAt ? count.requests : 0;
    }

    #noteHanded(peer: peerDirectory.KnownPeer, service: string): void {
        const key = handedKey(peer.session, service);
        const requests = this.#readHanded(peer, service) + 1;
        this.#handed.set(key, { session: peer.session, since: peer.statusAt, requests });
    }

    async #handOver(
        question: request.ServiceRequest,
        target: placement.Target,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const peer = this.#parts.directory.get(target.session);
        if (peer === undefined) {
            return request.createNotRun(types.Reason.noCapacity);
        }
        this.#noteHanded(peer, question.service);
        const result = await sendToPeer(peer.link, question, signal, this.#parts.clock());
        if (isMisrouted(result)) {
            const key = handedKey(peer.session, question.service);
            this.#handed.set(key, { session: peer.session, since: peer.statusAt, requests: Infinity });
        }
        this.#parts.metrics.count("handovers", describeResult(result));
        return result;
    }
}

/** How often a request was tried. */
interface Progress {
    readonly tried: Set<string>;
    attempts: number;
    reroutes: number;
}

/** Reasons that tell only that the target was the wrong one at this moment. */
const misroutedReasons: ReadonlySet<types.Reason> = new Set([
    types.Reason.fenced,
    types.Reason.noCapacity,
    types.Reason.notReady,
    types.Reason.stopping,
]);

function isMisrouted(result: request.RequestResult): boolean {
    return result.outcome === types.Outcome.notRun && misroutedReasons.has(result.reason);
}

interface HandedCount {
    readonly session: string;
    readonly since: number;
    readonly requests: number;
}

function handedKey(session: string, service: string): string {
    return `${session}/${service}`;
}

/** The part of a peer link that a request needs. */
export interface DispatchLink {
    dispatch(
        question: Omit<schema.peer.Dispatch, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): ReturnType<peerDirectory.KnownPeer["link"]["dispatch"]>;
}

/** Hands a request to a peer, under a ticket if one is given, and reads what became of it. */
export async function sendToPeer(
    link: DispatchLink,
    question: request.ServiceRequest,
    signal: AbortSignal,
    now: number,
    ticket?: string,
): Promise<request.RequestResult> {
    const timeoutMs = Math.max(1, Math.ceil(question.deadline - now));
    const message = {
        requestId: question.requestId,
        service: question.service,
        method: question.method,
        path: question.path,
        headers: [...question.headers],
        body: question.body,
        idempotent: question.idempotent,
        urgency: question.urgency,
        timeoutMs,
        ...(ticket === undefined ? {} : { ticket }),
    };
    const answer = await link.dispatch(message, timeoutMs + peerGraceMs, signal);
    return answer.match(request.readDispatchAnswer, describePeerError);
}

const peerErrorResults: Readonly<Record<errors.PeerFault, request.RequestResult>> = {
    [errors.PeerFault.connectionRefused]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.unreachable]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.strange]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.lost]: request.createUnknown(types.Reason.peerLost),
    [errors.PeerFault.timedOut]: request.createUnknown(types.Reason.peerLost),
};

function describePeerError(error: errors.PeerError): request.RequestResult {
    return peerErrorResults[error.fault];
}

/** Reasons after which another try can't help or isn't wanted. */
const finalReasons: ReadonlySet<types.Reason> = new Set([
    types.Reason.callerGone,
    types.Reason.deadlineTooShort,
    types.Reason.expired,
    types.Reason.serviceUnknown,
    types.Reason.shed,
]);

const firstServerError = 500;

/** A request that was not run may always be tried again; one that may have run only if it is idempotent. */
function isRetryable(question: request.ServiceRequest, result: request.RequestResult): boolean {
    if (result.outcome === types.Outcome.answered) {
        return question.idempotent && result.status >= firstServerError;
    }
    if (finalReasons.has(result.reason)) {
        return false;
    }
    return result.outcome === types.Outcome.notRun || question.idempotent;
}

/** After an attempt that may have run, or was answered, a later refusal must not be told as `not-run`. */
function worse(before: request.RequestResult, after: request.RequestResult): request.RequestResult {
    const mayHaveRun = before.outcome !== types.Outcome.notRun;
    return mayHaveRun && after.outcome === types.Outcome.notRun ? before : after;
}

function describeResult(result: request.RequestResult): string {
    return result.outcome === types.Outcome.answered ? `status-${result.status}` : result.reason;
}

function delay(milliseconds: number, deadline: number, clock: () => number): Promise<void> {
    const bounded = Math.max(0, Math.min(milliseconds, deadline - clock()));
    return new Promise(resolve => setTimeout(resolve, bounded));
}
