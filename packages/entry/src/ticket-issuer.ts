/**
 * Issues tickets: keys that only the issuing session may run, and that need no claim in the log.
 *
 * The issuer remembers every used ticket for as long as tickets are valid. A ticket that contains the issuer's session,
 * an unexpired time and a valid authentication code, and that is not remembered, was never run. Only the process that
 * issued a ticket runs it, so no agreement between processes is needed, and tickets work while the log is unreachable.
 */
import * as types from "@catkinwharf/types";
import * as crypto from "node:crypto";
import * as answerCache from "./answer-cache.js";
import * as idempotencyKey from "./idempotency-key.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";

const ticketPrefix = "ticket";
/** Length in bytes of a ticket's authentication code. */
const macBytes = 12;

/** Fields of a ticket. */
export interface Ticket {
    readonly session: string;
    readonly sequence: number;
    /** Time in ms on the issuer's clock. */
    readonly issuedAt: number;
}

interface TicketUse {
    readonly service: string;
    readonly fingerprint: string;
    readonly requestId: string;
    readonly result: Promise<request.RequestResult>;
    readonly usedAt: number;
}

/** Service of a ticket's request, and its result. */
export interface TicketOutcome {
    readonly service: string;
    readonly result: request.RequestResult;
}

export interface TicketIssuerOptions {
    readonly answers: answerCache.AnswerCache;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
    run(serviceRequest: request.ServiceRequest): Promise<request.RequestResult>;
}

export class TicketIssuer {
    readonly #options: TicketIssuerOptions;
    readonly #secret = crypto.randomBytes(32);
    readonly #uses = new Map<string, TicketUse>();
    #sequence = 0;

    constructor(options: TicketIssuerOptions) {
        this.#options = options;
    }

    /** Issues a ticket of `session`. `now` is clock time in ms. */
    issue(session: string, now: number): string {
        this.#sequence += 1;
        const payload = [ticketPrefix, session, this.#sequence, Math.floor(now)].join("~");
        this.#options.metrics.count("key_events", "ticket-issued");
        return `${payload}~${this.#sign(payload)}`;
    }

    #sign(payload: string): string {
        const mac = crypto.createHmac("sha256", this.#secret).update(payload).digest();
        return mac.subarray(0, macBytes).toString("base64url");
    }

    /** Whether this process issued the ticket, by its authentication code. */
    isIssuedHere(key: string): boolean {
        const end = key.lastIndexOf("~");
        const expected = Buffer.from(this.#sign(key.slice(0, end)));
        const given = Buffer.from(key.slice(end + 1));
        return given.byteLength === expected.byteLength && crypto.timingSafeEqual(given, expected);
    }

    /**
     * Runs a request under a ticket issued by this process, or returns the result of the request that used the ticket
     * before. `now` is clock time in ms.
     */
    async run(serviceRequest: request.ServiceRequest, key: string, now: number): Promise<request.RequestResult> {
        const ticket = parseTicket(key);
        if (ticket === undefined || !this.isIssuedHere(key)) {
            return request.createNotRun(types.Reason.badRequest);
        }
        const fingerprint = idempotencyKey.computeFingerprint(serviceRequest);
        const use = this.#uses.get(key);
        if (use !== undefined) {
            return this.#answerRepeat(use, fingerprint);
        }
        if (now - ticket.issuedAt >= this.#options.rememberMs) {
            return request.createUnknown(types.Reason.keyExpired);
        }
        return this.#runAndRecord(serviceRequest, key, fingerprint, now);
    }

    async #runAndRecord(
        serviceRequest: request.ServiceRequest,
        key: string,
        fingerprint: string,
        now: number,
    ): Promise<request.RequestResult> {
        const result = this.#options.run(serviceRequest);
        const use = {
            service: serviceRequest.service,
            fingerprint,
            requestId: serviceRequest.requestId,
            result,
            usedAt: now,
        };
        this.#uses.set(key, use);
        this.#options.metrics.count("key_events", "ticket-used");
        const requestResult = await result;
        if (requestResult.outcome === types.Outcome.notRun) {
            this.#uses.delete(key);
        }
        if (requestResult.outcome === types.Outcome.answered) {
            this.#options.answers.add(serviceRequest.requestId, requestResult, this.#options.clock());
            this.#uses.set(key, { ...use, result: createForgottenResult() });
        }
        return requestResult;
    }

    async #answerRepeat(use: TicketUse, fingerprint: string): Promise<request.RequestResult> {
        if (use.fingerprint !== fingerprint) {
            return request.createNotRun(types.Reason.keyConflict);
        }
        this.#options.metrics.count("key_events", "ticket-repeated");
        return this.#options.answers.get(use.requestId) ?? await use.result;
    }

    /** Result of the request that used a ticket; undefined if it was never used. */
    async getOutcome(key: string): Promise<TicketOutcome | undefined> {
        const use = this.#uses.get(key);
        if (use === undefined) {
            return undefined;
        }
        return { service: use.service, result: this.#options.answers.get(use.requestId) ?? await use.result };
    }

    /** Drops old uses. They are kept for twice the validity, because a ticket may be used just before it expires. */
    expire(now: number): void {
        for (const [key, use] of this.#uses) {
            if (now - use.usedAt < 2 * this.#options.rememberMs) {
                return;
            }
            this.#uses.delete(key);
        }
    }
}

/** Result kept with a use whose answer is in the answer cache: only the fact that the request ran. */
function createForgottenResult(): Promise<request.RequestResult> {
    return Promise.resolve(request.createUnknown(types.Reason.answerForgotten));
}

/** Parses a ticket; undefined for any other key. */
export function parseTicket(key: string): Ticket | undefined {
    const fields = key.split("~");
    const [prefix, session, sequence, issuedAt] = fields;
    if (fields.length !== 5 || prefix !== ticketPrefix || session === undefined) {
        return undefined;
    }
    return { session, sequence: Number(sequence), issuedAt: Number(issuedAt) };
}
