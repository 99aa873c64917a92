/**
 * Runs each request with an idempotency key at most once: claims its key in the log, remembers the outcome, and answers
 * repeats of the request with it.
 *
 * A request is dispatched only after its claim was read back and had won. A claim that is abandoned before that is
 * released in the log, and its request is never dispatched, so that the outcome `not-run` holds even if the claim is
 * found in the log later.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as logService from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as abandonedClaims from "./abandoned-claims.js";
import * as answerCache from "./answer-cache.js";
import * as expiredKeys from "./expired-keys.js";
import * as fleetView from "./fleet-view.js";
import * as idempotencyKey from "./idempotency-key.js";
import * as keyStatus from "./key-status.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";
import * as request from "./request.js";
import * as waitUntil from "./wait-until.js";

/** Time in ms reserved before the deadline for running the request, or for returning the answer to a repeat. */
const deadlineReserveMs = 50;
/** Time limit in ms for appending records that no caller waits for. */
const backgroundTimeoutMs = 60_000;

/** A request that this process claims or runs. */
interface InFlightRequest {
    readonly fingerprint: string;
    readonly result: Promise<request.RequestResult>;
}

export interface KeyedRequestRunnerOptions {
    readonly table: fleetState.ClaimTable;
    readonly stream: fleetView.RecordAppender;
    readonly answers: answerCache.AnswerCache;
    /** Keys whose claims have expired; their requests are refused. */
    readonly expiredKeys: expiredKeys.ExpiredKeys;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
    /** Wall-clock time in ms since 1970, for keys that contain their creation time. */
    readonly wallClock: () => number;
    readSession(): string;
    /** Whether a claim appended now can be expected to be read back. */
    isLogReachable(): boolean;
    /** Runs a request whose claim has won. */
    run(serviceRequest: request.ServiceRequest): Promise<request.RequestResult>;
    /** Asks the session that holds a claim for the status of its request; undefined if that session doesn't answer. */
    queryHolder(claim: fleetState.ClaimState, waitMs: number): Promise<keyStatus.KeyStatus | undefined>;
}

export class KeyedRequestRunner {
    readonly #options: KeyedRequestRunnerOptions;
    /** In-flight requests by scoped key. */
    readonly #inFlight = new Map<string, InFlightRequest>();
    readonly #abandonedClaims: abandonedClaims.AbandonedClaims;

    constructor(options: KeyedRequestRunnerOptions) {
        this.#options = options;
        this.#abandonedClaims = new abandonedClaims.AbandonedClaims(options);
    }

    /** Applies entries of the claims stream; releases claims of this process that won after they had been abandoned. */
    applyEntries(entries: readonly logService.LogEntry[]): void {
        for (const entry of entries) {
            const application = this.#options.table.apply(entry);
            if (application.won && application.holder !== undefined) {
                this.#abandonedClaims.releaseKey(application.holder);
            }
        }
    }

    #appendInBackground(record: schema.log.ClaimRecord): void {
        void this.#options.stream.append(record, this.#options.clock() + backgroundTimeoutMs);
    }

    /** Drops expired claims and answers. `now` is clock time in ms. */
    expire(now: number): void {
        this.#options.table.expire(Number.POSITIVE_INFINITY);
        this.#options.answers.expire(now);
        this.#abandonedClaims.expire(now);
    }

    /** Runs a request under its key, or returns the outcome of the request that claimed the key before. */
    async run(serviceRequest: request.ServiceRequest, key: string): Promise<request.RequestResult> {
        const scopedKey = idempotencyKey.scopeKey(serviceRequest.service, key);
        const fingerprint = idempotencyKey.computeFingerprint(serviceRequest);
        const refusal = this.#refuseExpiredKey(scopedKey, key);
        if (refusal !== undefined) {
            return refusal;
        }
        const inFlight = this.#inFlight.get(scopedKey);
        if (inFlight !== undefined) {
            return this.#joinInFlight(inFlight, fingerprint, serviceRequest.deadline);
        }
        const claim = this.#options.table.get(scopedKey);
        if (claim !== undefined) {
            return this.#answerRepeat(claim, fingerprint, serviceRequest.deadline);
        }
        if (!this.#options.isLogReachable()) {
            this.#options.metrics.count("key_events", "claim-not-tried");
            return request.createUnknown(types.Reason.platformUnavailable);
        }
        return this.#trackRun(scopedKey, fingerprint, serviceRequest);
    }

    #refuseExpiredKey(scopedKey: string, key: string): request.RequestResult | undefined {
        this.#options.table.expire(Number.POSITIVE_INFINITY);
        const createdAt = idempotencyKey.parseKeyTime(key);
        const isExpired = createdAt !== undefined && this.#options.wallClock() - createdAt > this.#options.rememberMs;
        if (!isExpired && !this.#options.expiredKeys.has(scopedKey)) {
            return undefined;
        }
        this.#options.metrics.count("key_events", "expired");
        return request.createUnknown(types.Reason.keyExpired);
    }

    async #trackRun(
        scopedKey: string,
        fingerprint: string,
        serviceRequest: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const result = this.#claimAndRun(scopedKey, fingerprint, serviceRequest);
        this.#inFlight.set(scopedKey, { fingerprint, result });
        try {
            return await result;
        }
        finally {
            this.#inFlight.delete(scopedKey);
        }
    }

    async #claimAndRun(
        scopedKey: string,
        fingerprint: string,
        serviceRequest: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const session = this.#options.readSession();
        const appended = await this.#options.stream.append({
            ...records.createHeader(session),
            kind: "key-claimed",
            key: scopedKey,
            session,
            requestId: serviceRequest.requestId,
            fingerprint,
        } as schema.log.KeyClaimed, serviceRequest.deadline - deadlineReserveMs);
        if (appended.isErr()) {
            return this.#abandonClaim(scopedKey, serviceRequest.requestId, appended.error);
        }
        const claim = this.#options.table.get(scopedKey);
        if (claim?.requestId !== serviceRequest.requestId) {
            return claim === undefined
                ? request.createUnknown(types.Reason.claimUnconfirmed)
                : this.#answerRepeat(claim, fingerprint, serviceRequest.deadline);
        }
        this.#options.metrics.count("key_events", "claimed");
        return this.#runClaimed(claim, serviceRequest);
    }

    /** Abandons a claim that was not confirmed; its request was not run and never will be. */
    #abandonClaim(scopedKey: string, requestId: string, error: errors.PlatformError): request.RequestResult {
        this.#options.metrics.count("key_events", `claim-${error.fault}`);
        this.#abandonedClaims.add(requestId);
        this.#releaseIfHeld(scopedKey, requestId);
        const sent = error.fault === errors.PlatformFault.unanswered;
        return request.createUnknown(sent ? types.Reason.claimUnconfirmed : types.Reason.platformUnavailable);
    }

    /** Releases the key if the abandoned request holds it in the log. */
    #releaseIfHeld(scopedKey: string, requestId: string): void {
        const claim = this.#options.table.get(scopedKey);
        if (claim?.requestId === requestId) {
            this.#abandonedClaims.releaseKey(claim);
        }
    }

    async #runClaimed(
        claim: fleetState.ClaimState,
        serviceRequest: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const result = await this.#options.run(serviceRequest);
        if (result.outcome === types.Outcome.notRun) {
            this.#abandonedClaims.add(claim.requestId);
            this.#abandonedClaims.releaseKey(claim);
            return result;
        }
        if (result.outcome === types.Outcome.answered) {
            this.#options.answers.add(claim.requestId, result, this.#options.clock());
        }
        this.#appendInBackground({
            ...records.createHeader(claim.session),
            kind: "key-settled",
            key: claim.key,
            session: claim.session,
            requestId: claim.requestId,
            outcome: result.outcome,
            status: result.outcome === types.Outcome.answered ? result.status : 0,
        });
        return result;
    }

    /** Waits for the in-flight request with the same key. */
    async #joinInFlight(
        inFlight: InFlightRequest,
        fingerprint: string,
        deadline: number,
    ): Promise<request.RequestResult> {
        if (inFlight.fingerprint !== fingerprint) {
            return request.createNotRun(types.Reason.keyConflict);
        }
        this.#options.metrics.count("key_events", "joined");
        const running = request.createUnknown(types.Reason.keyRunning);
        return await waitUntil.waitUntil(inFlight.result, deadline, this.#options.clock) ?? running;
    }

    /** Answers a repeated request with the outcome of the first. */
    async #answerRepeat(
        claim: fleetState.ClaimState,
        fingerprint: string,
        deadline: number,
    ): Promise<request.RequestResult> {
        if (claim.fingerprint !== fingerprint) {
            this.#options.metrics.count("key_events", "conflict");
            return request.createNotRun(types.Reason.keyConflict);
        }
        const waitMs = Math.max(0, deadline - this.#options.clock() - deadlineReserveMs);
        const status = await this.#queryStatus(claim, waitMs);
        this.#options.metrics.count("key_events", `repeat-${status?.state ?? "holder-lost"}`);
        return keyStatus.toRequestResult(status, claim);
    }

    #queryStatus(claim: fleetState.ClaimState, waitMs: number): Promise<keyStatus.KeyStatus | undefined> {
        return this.#isClaimedHere(claim)
            ? this.answerQuery(claim.key, claim.requestId, waitMs)
            : this.#options.queryHolder(claim, waitMs);
    }

    #isClaimedHere(claim: fleetState.ClaimState): boolean {
        return claim.session === this.#options.readSession()
            || this.#options.answers.get(claim.requestId) !== undefined;
    }

    /** Status of a request that this process claimed; waits up to `waitMs` while it runs. */
    async answerQuery(scopedKey: string, requestId: string, waitMs: number): Promise<keyStatus.KeyStatus> {
        const cached = this.#options.answers.get(requestId);
        if (cached !== undefined) {
            return { state: "answered", answer: cached };
        }
        if (this.#abandonedClaims.has(requestId)) {
            this.#releaseIfHeld(scopedKey, requestId);
            return { state: "not-run", answer: undefined };
        }
        const inFlight = this.#inFlight.get(scopedKey);
        if (inFlight !== undefined) {
            const result = await waitUntil.waitUntil(
                inFlight.result,
                this.#options.clock() + waitMs,
                this.#options.clock,
            );
            return keyStatus.toKeyStatus(result);
        }
        return { state: "unknown", answer: undefined };
    }

    /** Status of the request with a scoped key, without waiting for it; undefined if no request is known. */
    async getStatus(scopedKey: string): Promise<keyStatus.KeyStatus | undefined> {
        const claim = this.#options.table.get(scopedKey);
        if (claim === undefined) {
            return this.#inFlight.has(scopedKey) ? { state: "running", answer: undefined } : undefined;
        }
        const status = await this.#queryStatus(claim, 0);
        return status ?? { state: "unknown", answer: undefined };
    }
}
