/**
 * Runs each keyed request at most once: claims its key in the log, remembers what became of it, and answers repeats.
 *
 * A request is dispatched only after its claim was read back as the winner. A claim that was given up before dispatching
 * is released in the log, and its request is never dispatched, so that `not-run` stays true whatever arrives later.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as platform from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as abandonedClaims from "./abandoned-claims.js";
import * as answerMemory from "./answer-memory.js";
import * as fleetView from "./fleet-view.js";
import * as forgottenKeys from "./forgotten-keys.js";
import * as keyKnowledge from "./key-knowledge.js";
import * as keyRules from "./key-rules.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";
import * as request from "./request.js";
import * as waitUntil from "./wait-until.js";

/** Time in ms kept back from the deadline for running the request. */
const runReserveMs = 50;
/** Time in ms for records that nobody waits for. */
const backgroundTimeoutMs = 60_000;

/** What this process knows of a claim that it holds. */
interface HeldClaim {
    readonly fingerprint: string;
    readonly result: Promise<request.RequestResult>;
}

export interface KeyKeeperParts {
    readonly table: fleetState.ClaimTable;
    readonly stream: fleetView.RecordStream;
    readonly answers: answerMemory.AnswerMemory;
    /** Keys whose claims have expired. */
    readonly forgotten: forgottenKeys.ForgottenKeys;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
    /** Wall-clock time in ms since 1970, for keys that carry their time. */
    readonly wallClock: () => number;
    readSession(): string;
    /** Whether a claim that is appended now could be read back. */
    isLogInReach(): boolean;
    /** Runs a request that holds its key. */
    run(question: request.ServiceRequest): Promise<request.RequestResult>;
    /** Asks another session; undefined if it can't be reached. */
    askHolder(claim: fleetState.ClaimState, waitMs: number): Promise<keyKnowledge.KeyKnowledge | undefined>;
}

export class KeyKeeper {
    readonly #parts: KeyKeeperParts;
    /** Requests that this process claims or runs, by scoped key. */
    readonly #held = new Map<string, HeldClaim>();
    readonly #abandoned: abandonedClaims.AbandonedClaims;

    constructor(parts: KeyKeeperParts) {
        this.#parts = parts;
        this.#abandoned = new abandonedClaims.AbandonedClaims(parts);
    }

    /** Applies entries of the claims stream; releases own claims that won after they had been given up. */
    applyEntries(entries: readonly platform.LogEntry[]): void {
        for (const entry of entries) {
            const application = this.#parts.table.apply(entry);
            if (application.won && application.holder !== undefined) {
                this.#abandoned.release(application.holder);
            }
        }
    }

    #appendInBackground(record: schema.log.ClaimRecord): void {
        void this.#parts.stream.append(record, this.#parts.clock() + backgroundTimeoutMs);
    }

    /** Drops what is too old. `now` is clock time in ms. */
    expire(now: number): void {
        this.#parts.table.expire(Number.POSITIVE_INFINITY);
        this.#parts.answers.expire(now);
        this.#abandoned.expire(now);
    }

    /** Runs a request under its key, or tells what became of the request that holds the key. */
    async run(question: request.ServiceRequest, key: string): Promise<request.RequestResult> {
        const scoped = keyRules.scopeKey(question.service, key);
        const fingerprint = keyRules.computeFingerprint(question);
        const refusal = this.#refuse(scoped, key);
        if (refusal !== undefined) {
            return refusal;
        }
        const held = this.#held.get(scoped);
        if (held !== undefined) {
            return this.#join(held, fingerprint, question.deadline);
        }
        const claim = this.#parts.table.get(scoped);
        if (claim !== undefined) {
            return this.#resolve(claim, fingerprint, question.deadline);
        }
        if (!this.#parts.isLogInReach()) {
            this.#parts.metrics.count("key_events", "claim-not-tried");
            return request.createUnknown(types.Reason.platformUnavailable);
        }
        return this.#hold(scoped, fingerprint, question);
    }

    #refuse(scoped: string, key: string): request.RequestResult | undefined {
        this.#parts.table.expire(Number.POSITIVE_INFINITY);
        const madeAt = keyRules.readKeyTime(key);
        const tooOld = madeAt !== undefined && this.#parts.wallClock() - madeAt > this.#parts.rememberMs;
        if (!tooOld && !this.#parts.forgotten.has(scoped)) {
            return undefined;
        }
        this.#parts.metrics.count("key_events", "expired");
        return request.createUnknown(types.Reason.keyExpired);
    }

    async #hold(
        scoped: string,
        fingerprint: string,
        question: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const result = this.#claimAndRun(scoped, fingerprint, question);
        this.#held.set(scoped, { fingerprint, result });
        try {
            return await result;
        }
        finally {
            this.#held.delete(scoped);
        }
    }

    async #claimAndRun(
        scoped: string,
        fingerprint: string,
        question: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const session = this.#parts.readSession();
        const appended = await this.#parts.stream.append({
            ...records.createHeader(session),
            kind: "key-claimed",
            key: scoped,
            session,
            requestId: question.requestId,
            fingerprint,
        } as schema.log.KeyClaimed, question.deadline - runReserveMs);
        if (appended.isErr()) {
            return this.#abandon(scoped, question.requestId, appended.error);
        }
        const claim = this.#parts.table.get(scoped);
        if (claim?.requestId !== question.requestId) {
            return claim === undefined
                ? request.createUnknown(types.Reason.claimUnconfirmed)
                : this.#resolve(claim, fingerprint, question.deadline);
        }
        this.#parts.metrics.count("key_events", "claimed");
        return this.#runClaimed(claim, question);
    }

    /** The request of an unconfirmed claim is never dispatched, so it was not run. */
    #abandon(scoped: string, requestId: string, error: errors.PlatformError): request.RequestResult {
        this.#parts.metrics.count("key_events", `claim-${error.fault}`);
        this.#abandoned.add(requestId);
        this.#releaseStanding(scoped, requestId);
        const sent = error.fault === errors.PlatformFault.unanswered;
        return request.createUnknown(sent ? types.Reason.claimUnconfirmed : types.Reason.platformUnavailable);
    }

    /** Releases the key if the given-up request still holds it in the log. */
    #releaseStanding(scoped: string, requestId: string): void {
        const claim = this.#parts.table.get(scoped);
        if (claim?.requestId === requestId) {
            this.#abandoned.release(claim);
        }
    }

    async #runClaimed(
        claim: fleetState.ClaimState,
        question: request.ServiceRequest,
    ): Promise<request.RequestResult> {
        const result = await this.#parts.run(question);
        if (result.outcome === types.Outcome.notRun) {
            this.#abandoned.add(claim.requestId);
            this.#abandoned.release(claim);
            return result;
        }
        if (result.outcome === types.Outcome.answered) {
            this.#parts.answers.keep(claim.requestId, result, this.#parts.clock());
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

    /** Waits for the request that this process runs under the same key. */
    async #join(held: HeldClaim, fingerprint: string, deadline: number): Promise<request.RequestResult> {
        if (held.fingerprint !== fingerprint) {
            return request.createNotRun(types.Reason.keyConflict);
        }
        this.#parts.metrics.count("key_events", "joined");
        const running = request.createUnknown(types.Reason.keyRunning);
        return await waitUntil.waitUntil(held.result, deadline, this.#parts.clock) ?? running;
    }

    /** Tells a repeated request what became of the first. */
    async #resolve(
        claim: fleetState.ClaimState,
        fingerprint: string,
        deadline: number,
    ): Promise<request.RequestResult> {
        if (claim.fingerprint !== fingerprint) {
            this.#parts.metrics.count("key_events", "conflict");
            return request.createNotRun(types.Reason.keyConflict);
        }
        const waitMs = Math.max(0, deadline - this.#parts.clock() - runReserveMs);
        const knowledge = await this.#learn(claim, waitMs);
        this.#parts.metrics.count("key_events", `repeat-${knowledge?.state ?? "holder-lost"}`);
        return keyKnowledge.describeKnowledge(knowledge, claim);
    }

    #learn(claim: fleetState.ClaimState, waitMs: number): Promise<keyKnowledge.KeyKnowledge | undefined> {
        return this.#isOwn(claim)
            ? this.answerQuery(claim.key, claim.requestId, waitMs)
            : this.#parts.askHolder(claim, waitMs);
    }

    #isOwn(claim: fleetState.ClaimState): boolean {
        return claim.session === this.#parts.readSession() || this.#parts.answers.get(claim.requestId) !== undefined;
    }

    /** What this process knows of a request that it claimed; waits up to `waitMs` while it runs. */
    async answerQuery(scoped: string, requestId: string, waitMs: number): Promise<keyKnowledge.KeyKnowledge> {
        const kept = this.#parts.answers.get(requestId);
        if (kept !== undefined) {
            return { state: "answered", answer: kept };
        }
        if (this.#abandoned.has(requestId)) {
            this.#releaseStanding(scoped, requestId);
            return { state: "not-run", answer: undefined };
        }
        const held = this.#held.get(scoped);
        if (held !== undefined) {
            const result = await waitUntil.waitUntil(held.result, this.#parts.clock() + waitMs, this.#parts.clock);
            return keyKnowledge.describeResult(result);
        }
        return { state: "unknown", answer: undefined };
    }

    /** What is known of a scoped key without waiting. */
    async describe(scoped: string): Promise<keyKnowledge.KeyKnowledge | undefined> {
        const claim = this.#parts.table.get(scoped);
        if (claim === undefined) {
            return this.#held.has(scoped) ? { state: "running", answer: undefined } : undefined;
        }
        const knowledge = await this.#learn(claim, 0);
        return knowledge ?? { state: "unknown", answer: undefined };
    }
}
