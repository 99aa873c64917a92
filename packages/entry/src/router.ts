/**
 * Routes each request to this session or to a peer that is home to servers of its service, and retries it where that is
 * safe.
 */
import * as errors from "@catkinwharf/errors";
import * as placement from "@catkinwharf/placement";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as localDispatcher from "./local-dispatcher.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";

/** Time in ms added to a peer's time limit, for the transfer of its answer. */
const peerGraceMs = 250;
/** Retries per second that each service may make regardless of its traffic. */
const minRetriesPerSecond = 1;
/** Limit on the reroutes of one request whose targets turned out to have no capacity for it. */
const maxReroutes = 12;

export interface RouterOptions {
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
    readonly #options: RouterOptions;
    readonly #budget: placement.RetryBudget;
    /** Requests forwarded to a peer since its newest status, by session and service; infinite if it had no capacity. */
    readonly #forwardedCounts = new Map<string, ForwardedCount>();

    constructor(options: RouterOptions) {
        this.#options = options;
        this.#budget = new placement.RetryBudget(options.limits.retryShare, minRetriesPerSecond);
    }

    /** Runs a request; retries it while that is safe and the budget, the attempts and the deadline allow it. */
    async run(serviceRequest: request.ServiceRequest, signal: AbortSignal): Promise<request.RequestResult> {
        const progress: RetryProgress = { triedSessions: new Set(), attempts: 0, reroutes: 0 };
        this.#budget.recordAttempt(serviceRequest.service, this.#options.clock());
        let result = await this.#attempt(serviceRequest, progress.triedSessions, signal);
        while (
            !signal.aborted && isRetryable(serviceRequest, result) && this.#mayRetry(serviceRequest, result, progress)
        ) {
            this.#options.metrics.count("retries", toMetricLabel(result));
            const backoffMs = placement.computeBackoff(progress.attempts + progress.reroutes, this.#options.random());
            await delay(backoffMs, serviceRequest.deadline, this.#options.clock);
            result = combineResults(result, await this.#attempt(serviceRequest, progress.triedSessions, signal));
        }
        return result;
    }

    /** Drops the counts of sessions that are no longer in the peer directory. */
    pruneForwardedCounts(): void {
        for (const [key, count] of this.#forwardedCounts) {
            if (this.#options.directory.get(count.session) === undefined) {
                this.#forwardedCounts.delete(key);
            }
        }
    }

    #mayRetry(serviceRequest: request.ServiceRequest, result: request.RequestResult, progress: RetryProgress): boolean {
        const refusal = isMisrouted(result)
            ? this.#checkReroute(serviceRequest, progress)
            : this.#checkRetry(serviceRequest, progress);
        if (refusal !== undefined) {
            this.#options.metrics.count("retry_refusals", refusal);
        }
        return refusal === undefined;
    }

    /**
     * Counts a reroute, and returns the reason if it is not allowed. An attempt at a target without capacity costs no
     * backend server anything, so the retry budget does not count it.
     */
    #checkReroute(serviceRequest: request.ServiceRequest, progress: RetryProgress): string | undefined {
        progress.reroutes += 1;
        if (progress.reroutes > maxReroutes) {
            return "reroutes";
        }
        return this.#options.clock() >= serviceRequest.deadline ? "deadline" : undefined;
    }

    /** Counts an attempt, and returns the reason if a retry is not allowed. */
    #checkRetry(serviceRequest: request.ServiceRequest, progress: RetryProgress): string | undefined {
        const now = this.#options.clock();
        progress.attempts += 1;
        if (progress.attempts >= this.#options.limits.maxAttempts) {
            return "attempts";
        }
        if (now >= serviceRequest.deadline) {
            return "deadline";
        }
        return this.#budget.tryTake(serviceRequest.service, now) ? undefined : "budget";
    }

    async #attempt(
        serviceRequest: request.ServiceRequest,
        triedSessions: Set<string>,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const target = this.#chooseTarget(serviceRequest.service, triedSessions);
        if (target === undefined) {
            return request.createNotRun(types.Reason.noCapacity);
        }
        triedSessions.add(target.session);
        return target.local
            ? this.#options.dispatcher.run(serviceRequest, signal)
            : this.#forward(serviceRequest, target, signal);
    }

    /** Chooses a target; one that was already tried only if there is no other. */
    #chooseTarget(service: string, triedSessions: ReadonlySet<string>): placement.Target | undefined {
        const targets = this.#listTargets(service);
        const fresh = targets.filter(target => !triedSessions.has(target.session));
        return placement.chooseTarget(fresh.length > 0 ? fresh : targets, this.#options.random());
    }

    #listTargets(service: string): placement.Target[] {
        const own = this.#options.dispatcher.findDigest(service);
        const local = own === undefined || own.slots === 0 ? [] : [this.#createLocalTarget(own)];
        const remote = this.#options.directory.list().flatMap(peer => this.#createPeerTarget(peer, service));
        return [...local, ...remote];
    }

    #createLocalTarget(digest: schema.peer.Digest): placement.Target {
        return {
            session: this.#options.readSession(),
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
        const forwarded = this.#getForwardedCount(peer, service);
        if (forwarded === Infinity) {
            return [];
        }
        return [{
            session: peer.session,
            local: false,
            sameZone: peer.availabilityZone === this.#options.availabilityZone,
            slots: digest.slots,
            free: Math.max(0, digest.free - forwarded),
            queued: digest.queued + Math.max(0, forwarded - digest.free),
        }];
    }

    #getForwardedCount(peer: peerDirectory.KnownPeer, service: string): number {
        const count = this.#forwardedCounts.get(createCountKey(peer.session, service));
        return count !== undefined && count.since === peer.statusAt ? count.requests : 0;
    }

    #countForwarded(peer: peerDirectory.KnownPeer, service: string): void {
        const key = createCountKey(peer.session, service);
        const requests = this.#getForwardedCount(peer, service) + 1;
        this.#forwardedCounts.set(key, { session: peer.session, since: peer.statusAt, requests });
    }

    async #forward(
        serviceRequest: request.ServiceRequest,
        target: placement.Target,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const peer = this.#options.directory.get(target.session);
        if (peer === undefined) {
            return request.createNotRun(types.Reason.noCapacity);
        }
        this.#countForwarded(peer, serviceRequest.service);
        const result = await sendToPeer(peer.link, serviceRequest, signal, this.#options.clock());
        if (isMisrouted(result)) {
            const key = createCountKey(peer.session, serviceRequest.service);
            this.#forwardedCounts.set(key, { session: peer.session, since: peer.statusAt, requests: Infinity });
        }
        this.#options.metrics.count("handovers", toMetricLabel(result));
        return result;
    }
}

/** Sessions and attempts used for one request. */
interface RetryProgress {
    readonly triedSessions: Set<string>;
    attempts: number;
    reroutes: number;
}

/** Reasons that mean only that the target could not take the request at that moment. */
const misroutedReasons: ReadonlySet<types.Reason> = new Set([
    types.Reason.fenced,
    types.Reason.noCapacity,
    types.Reason.notReady,
    types.Reason.stopping,
]);

function isMisrouted(result: request.RequestResult): boolean {
    return result.outcome === types.Outcome.notRun && misroutedReasons.has(result.reason);
}

interface ForwardedCount {
    readonly session: string;
    /** Clock time in ms of the peer status from which on requests are counted. */
    readonly since: number;
    readonly requests: number;
}

function createCountKey(session: string, service: string): string {
    return `${session}/${service}`;
}

/** The part of a peer link that forwards requests. */
export interface DispatchLink {
    dispatch(
        message: Omit<schema.peer.Dispatch, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): ReturnType<peerDirectory.KnownPeer["link"]["dispatch"]>;
}

/** Forwards a request to a peer, under a ticket if one is given, and returns its result. */
export async function sendToPeer(
    link: DispatchLink,
    serviceRequest: request.ServiceRequest,
    signal: AbortSignal,
    now: number,
    ticket?: string,
): Promise<request.RequestResult> {
    const timeoutMs = Math.max(1, Math.ceil(serviceRequest.deadline - now));
    const message = {
        requestId: serviceRequest.requestId,
        service: serviceRequest.service,
        method: serviceRequest.method,
        path: serviceRequest.path,
        headers: [...serviceRequest.headers],
        body: serviceRequest.body,
        idempotent: serviceRequest.idempotent,
        urgency: serviceRequest.urgency,
        timeoutMs,
        ...(ticket === undefined ? {} : { ticket }),
    };
    const answer = await link.dispatch(message, timeoutMs + peerGraceMs, signal);
    return answer.match(request.readDispatchAnswer, toPeerErrorResult);
}

const peerErrorResults: Readonly<Record<errors.PeerFault, request.RequestResult>> = {
    [errors.PeerFault.connectionRefused]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.unreachable]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.strange]: request.createNotRun(types.Reason.noCapacity),
    [errors.PeerFault.lost]: request.createUnknown(types.Reason.peerLost),
    [errors.PeerFault.timedOut]: request.createUnknown(types.Reason.peerLost),
};

function toPeerErrorResult(error: errors.PeerError): request.RequestResult {
    return peerErrorResults[error.fault];
}

/** Reasons after which a retry cannot succeed or is not wanted. */
const nonRetryableReasons: ReadonlySet<types.Reason> = new Set([
    types.Reason.callerGone,
    types.Reason.deadlineTooShort,
    types.Reason.expired,
    types.Reason.serviceUnknown,
    types.Reason.shed,
]);

const minServerErrorStatus = 500;

/** A request that was not run may always be retried; one that may have run only if it is idempotent. */
function isRetryable(serviceRequest: request.ServiceRequest, result: request.RequestResult): boolean {
    if (result.outcome === types.Outcome.answered) {
        return serviceRequest.idempotent && result.status >= minServerErrorStatus;
    }
    if (nonRetryableReasons.has(result.reason)) {
        return false;
    }
    return result.outcome === types.Outcome.notRun || serviceRequest.idempotent;
}

/** Result after a retry: `not-run` must not be returned if an earlier attempt may have run or was answered. */
function combineResults(earlier: request.RequestResult, later: request.RequestResult): request.RequestResult {
    const mayHaveRun = earlier.outcome !== types.Outcome.notRun;
    return mayHaveRun && later.outcome === types.Outcome.notRun ? earlier : later;
}

function toMetricLabel(result: request.RequestResult): string {
    return result.outcome === types.Outcome.answered ? `status-${result.status}` : result.reason;
}

function delay(milliseconds: number, deadline: number, clock: () => number): Promise<void> {
    const bounded = Math.max(0, Math.min(milliseconds, deadline - clock()));
    return new Promise(resolve => setTimeout(resolve, bounded));
}
