/**
 * Issues tickets: keys that only the issuing session may run, and that need no claim in the log.
 *
 * The issuer remembers every ticket that was used for as long as tickets are valid. A ticket that carries its own
 * session's name, an unexpired time and a valid code, and that is not remembered, was never run. Only the issuer, in the
 * process that issued it, runs it, so no agreement is needed, and tickets work while the log is out of reach.
 */
import * as types from "@catkinwharf/types";
import * as crypto from "node:crypto";
import * as answerCache from "./answer-cache.js";
import * as idempotencyKey from "./idempotency-key.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";

const ticketPrefix = "ticket";
const codeBytes = 12;

/** A ticket's parts. */
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

/** A ticket's service and what became of its request. */
export interface KnownUse {
    readonly service: string;
    readonly result: request.RequestResult;
}

export interface TicketParts {
    readonly answers: answerCache.AnswerCache;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
    run(question: request.ServiceRequest): Promise<request.RequestResult>;
}

export class TicketOffice {
    readonly #parts: TicketParts;
    readonly #secret = crypto.randomBytes(32);
    readonly #uses = new Map<string, TicketUse>();
    #sequence = 0;

    constructor(parts: TicketParts) {
        this.#parts = parts;
    }

    /** Issues a ticket of `session`. `now` is clock time in ms. */
    issue(session: string, now: number): string {
        this.#sequence += 1;
        const payload = [ticketPrefix, session, this.#sequence, Math.floor(now)].join("~");
        this.#parts.metrics.count("key_events", "ticket-issued");
        return `${payload}~${this.#sign(payload)}`;
    }

    #sign(payload: string): string {
        const mac = crypto.createHmac("sha256", this.#secret).update(payload).digest();
        return mac.subarray(0, codeBytes).toString("base64url");
    }

    /** Whether this process issued the ticket. */
    isGenuine(key: string): boolean {
        const end = key.lastIndexOf("~");
        const expected = Buffer.from(this.#sign(key.slice(0, end)));
        const given = Buffer.from(key.slice(end + 1));
        return given.byteLength === expected.byteLength && crypto.timingSafeEqual(given, expected);
    }

    /** Runs a request under a ticket that this process issued, or tells what became of it. `now` is clock time in ms. */
    async run(question: request.ServiceRequest, key: string, now: number): Promise<request.RequestResult> {
        const ticket = readTicket(key);
        if (ticket === undefined || !this.isGenuine(key)) {
            return request.createNotRun(types.Reason.badRequest);
        }
        const fingerprint = idempotencyKey.computeFingerprint(question);
        const use = this.#uses.get(key);
        if (use !== undefined) {
            return this.#repeat(use, fingerprint);
        }
        if (now - ticket.issuedAt >= this.#parts.rememberMs) {
            return request.createUnknown(types.Reason.keyExpired);
        }
        return this.#use(question, key, fingerprint, now);
    }

    async #use(
        question: request.ServiceRequest,
        key: string,
        fingerprint: string,
        now: number,
    ): Promise<request.RequestResult> {
        const result = this.#parts.run(question);
        const use = { service: question.service, fingerprint, requestId: question.requestId, result, usedAt: now };
        this.#uses.set(key, use);
        this.#parts.metrics.count("key_events", "ticket-used");
        const settled = await result;
        if (settled.outcome === types.Outcome.notRun) {
            this.#uses.delete(key);
        }
        if (settled.outcome === types.Outcome.answered) {
            this.#parts.answers.add(question.requestId, settled, this.#parts.clock());
            this.#uses.set(key, { ...use, result: forgetAnswer() });
        }
        return settled;
    }

    async #repeat(use: TicketUse, fingerprint: string): Promise<request.RequestResult> {
        if (use.fingerprint !== fingerprint) {
            return request.createNotRun(types.Reason.keyConflict);
        }
        this.#parts.metrics.count("key_events", "ticket-repeated");
        return this.#parts.answers.get(use.requestId) ?? await use.result;
    }

    /** What is known of a ticket; undefined if it was never used. */
    async describe(key: string): Promise<KnownUse | undefined> {
        const use = this.#uses.get(key);
        if (use === undefined) {
            return undefined;
        }
        return { service: use.service, result: this.#parts.answers.get(use.requestId) ?? await use.result };
    }

    /** Forgets uses of tickets that have expired; a ticket used late is remembered as long again. */
    expire(now: number): void {
        for (const [key, use] of this.#uses) {
            if (now - use.usedAt < 2 * this.#parts.rememberMs) {
                return;
            }
            this.#uses.delete(key);
        }
    }
}

/** After an answer is in the answer memory, only the fact that it ran is kept with the use. */
function forgetAnswer(): Promise<request.RequestResult> {
    return Promise.resolve(request.createUnknown(types.Reason.answerForgotten));
}

/** Reads a ticket's parts; undefined for any other key. */
export function readTicket(key: string): Ticket | undefined {
    const parts = key.split("~");
    const [prefix, session, sequence, issuedAt] = parts;
    if (parts.length !== 5 || prefix !== ticketPrefix || session === undefined) {
        return undefined;
    }
    return { session, sequence: Number(sequence), issuedAt: Number(issuedAt) };
}
