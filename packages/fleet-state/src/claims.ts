/**
 * The fold of the `claims` stream: which session runs the request of an idempotency key.
 *
 * The first claim by offset wins. Claims come by the hundred a second, so this table changes in place. Which claim
 * wins depends on the stream alone and never on when a reader drops old claims: a claim stands for `rememberMs` of
 * platform time, and `expire` drops no claim that still stands.
 */
import * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";

/** How a claimed request ended. */
export interface Settlement {
    readonly outcome: schema.log.KeySettled["outcome"];
    /** HTTP status of the answer, 0 if unknown. */
    readonly status: number;
}

/** A claim that won. */
export interface ClaimState {
    readonly key: string;
    readonly session: string;
    readonly requestId: string;
    readonly fingerprint: string;
    readonly offset: number;
    /** Platform time of the claim in ms since 1970. */
    readonly claimedAt: number;
    readonly settled: Settlement | undefined;
}

/** What an entry did to the table. */
export interface ClaimApplication {
    /** Whether the record is a claim, and its session and request hold the key. */
    readonly won: boolean;
    /** Claim in force for the record's key after the entry. */
    readonly holder?: ClaimState;
    /** The entry's record; undefined if it is malformed or its offset was applied before. */
    readonly record?: schema.log.ClaimRecord;
}

/** Time for which a claim stands unless the table is given another, in ms. */
export const defaultRememberMs = 24 * 60 * 60 * 1000;

/** Claims by key, up to an offset of the stream. */
export class ClaimTable {
    readonly #rememberMs: number;
    readonly #onExpired: (key: string) => void;
    /** By key, oldest claim first. */
    readonly #claims = new Map<string, ClaimState>();
    /** Time of the release by released request, oldest first: a late repetition of its claim must not win. */
    readonly #released = new Map<string, number>();
    #nextOffset = 0;
    #newestAt = 0;

    /**
     * `rememberMs` must be the same in all entry instances and shorter than the platform's retention. `onExpired` gets
     * the key of each claim that no longer stands.
     */
    constructor(rememberMs: number = defaultRememberMs, onExpired: (key: string) => void = () => undefined) {
        this.#rememberMs = rememberMs;
        this.#onExpired = onExpired;
    }

    /** Claims in the table. */
    get size(): number {
        return this.#claims.size;
    }

    /** First offset that is not applied. */
    get nextOffset(): number {
        return this.#nextOffset;
    }

    /** Claim in force for the key at the platform time of the newest entry. */
    get(key: string): ClaimState | undefined {
        const claim = this.#claims.get(key);
        return claim !== undefined && this.#isRemembered(claim.claimedAt) ? claim : undefined;
    }

    /** Applies an entry; one below `nextOffset` or malformed wins nothing. */
    apply(entry: model.LogEntry): ClaimApplication {
        if (!Number.isSafeInteger(entry.offset) || entry.offset < this.#nextOffset) {
            return { won: false };
        }
        this.#nextOffset = entry.offset + 1;
        if (!Number.isFinite(entry.appendedAt) || !schema.validators.logClaimRecord(entry.body)) {
            return { won: false };
        }
        this.#newestAt = Math.max(this.#newestAt, entry.appendedAt);
        const record = entry.body;
        const won = this.#applyRecord(record, entry.offset);
        return { won, holder: this.get(record.key), record };
    }

    /**
     * Drops claims made before a platform time in ms, but none that still stands.
     * @returns number of claims dropped
     */
    expire(before: number): number {
        const limit = Math.min(before, this.#newestAt - this.#rememberMs);
        for (const [request, releasedAt] of this.#released) {
            if (releasedAt >= limit) {
                break;
            }
            this.#released.delete(request);
        }
        let dropped = 0;
        for (const claim of this.#claims.values()) {
            if (claim.claimedAt >= limit) {
                break;
            }
            this.#claims.delete(claim.key);
            this.#onExpired(claim.key);
            dropped++;
        }
        return dropped;
    }

    #applyRecord(record: schema.log.ClaimRecord, offset: number): boolean {
        if (record.author !== record.session) {
            return false;
        }
        if (record.kind === "key-claimed") {
            return this.#claim(record, offset);
        }
        if (record.kind === "key-released") {
            this.#release(record);
        }
        else {
            this.#settle(record);
        }
        return false;
    }

    #claim(record: schema.log.KeyClaimed, offset: number): boolean {
        const holder = this.get(record.key);
        if (holder !== undefined) {
            return isSameRequest(holder, record);
        }
        const releasedAt = this.#released.get(nameRequest(record));
        if (releasedAt !== undefined && this.#isRemembered(releasedAt)) {
            return false;
        }
        this.#claims.delete(record.key);
        this.#claims.set(record.key, {
            key: record.key,
            session: record.session,
            requestId: record.requestId,
            fingerprint: record.fingerprint,
            offset,
            claimedAt: this.#newestAt,
            settled: undefined,
        });
        return true;
    }

    /** A release also holds against a claim of the same request that the log takes later. */
    #release(record: schema.log.KeyReleased): void {
        const holder = this.get(record.key);
        const holds = holder !== undefined && isSameRequest(holder, record);
        if (holds && holder.settled !== undefined) {
            return;
        }
        const request = nameRequest(record);
        this.#released.delete(request);
        this.#released.set(request, this.#newestAt);
        if (holds) {
            this.#claims.delete(record.key);
        }
    }

    /** The first settlement stands. */
    #settle(record: schema.log.KeySettled): void {
        const holder = this.get(record.key);
        if (holder === undefined || holder.settled !== undefined || !isSameRequest(holder, record)) {
            return;
        }
        const settled = { outcome: record.outcome, status: record.status };
        this.#claims.set(record.key, { ...holder, settled });
    }

    #isRemembered(at: number): boolean {
        return at >= this.#newestAt - this.#rememberMs;
    }
}

function isSameRequest(claim: ClaimState, record: schema.log.ClaimRecord): boolean {
    return claim.session === record.session && claim.requestId === record.requestId;
}

/** The parts may hold any character, so they are joined as JSON. */
function nameRequest(record: schema.log.ClaimRecord): string {
    return JSON.stringify([record.key, record.session, record.requestId]);
}
