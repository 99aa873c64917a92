/**
 * Table built from the `claims` stream: which session may run the request of an idempotency key.
 *
 * The first claim by offset wins. The table is mutable because claims arrive at hundreds per second. Which claim wins
 * depends only on the stream, not on when a reader removes old claims: a claim is in force for `rememberMs` of platform
 * time, and `expire` removes only claims that are no longer in force.
 */
import * as schema from "@catkinwharf/schema";
import type * as model from "./model.js";

/** How a claimed request ended. */
export interface Settlement {
    readonly outcome: schema.log.KeySettled["outcome"];
    /** HTTP status of the response, 0 if unknown. */
    readonly status: number;
}

/** A claim that won its key. */
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

/** Result of applying an entry to the table. */
export interface ClaimResult {
    /** Whether the record is a claim and its session and request now hold the key. */
    readonly won: boolean;
    /** Claim in force for the record's key after the entry was applied. */
    readonly holder?: ClaimState;
    /** The entry's record; undefined if the entry is malformed or its offset was already applied. */
    readonly record?: schema.log.ClaimRecord;
}

/** Default time for which a claim is in force, in ms. */
export const defaultRememberMs = 24 * 60 * 60 * 1000;

/** Claims by key after the entries up to an offset of the stream. */
export class ClaimTable {
    readonly #rememberMs: number;
    readonly #onExpired: (key: string) => void;
    /** Claims by key, oldest first. */
    readonly #claims = new Map<string, ClaimState>();
    /** Platform time of the release by request, oldest first. A late duplicate of a released claim must not win. */
    readonly #released = new Map<string, number>();
    #nextOffset = 0;
    #newestAppendedAt = 0;

    /**
     * @param rememberMs must be the same in all entry instances and shorter than the platform's retention
     * @param onExpired receives the key of each claim that `expire` removes
     */
    constructor(rememberMs: number = defaultRememberMs, onExpired: (key: string) => void = () => undefined) {
        this.#rememberMs = rememberMs;
        this.#onExpired = onExpired;
    }

    /** Number of claims in the table. */
    get size(): number {
        return this.#claims.size;
    }

    /** Offset of the next entry to apply. */
    get nextOffset(): number {
        return this.#nextOffset;
    }

    /** Claim in force for the key at the platform time of the newest entry. */
    get(key: string): ClaimState | undefined {
        const claim = this.#claims.get(key);
        return claim !== undefined && this.#isInForce(claim.claimedAt) ? claim : undefined;
    }

    /** Applies an entry. An entry that is malformed or below `nextOffset` never wins. */
    apply(entry: model.LogEntry): ClaimResult {
        if (!Number.isSafeInteger(entry.offset) || entry.offset < this.#nextOffset) {
            return { won: false };
        }
        this.#nextOffset = entry.offset + 1;
        if (!Number.isFinite(entry.appendedAt) || !schema.validators.logClaimRecord(entry.body)) {
            return { won: false };
        }
        this.#newestAppendedAt = Math.max(this.#newestAppendedAt, entry.appendedAt);
        const record = entry.body;
        const won = this.#applyRecord(record, entry.offset);
        return { won, holder: this.get(record.key), record };
    }

    /**
     * Removes claims made before the platform time `before` (ms) that are no longer in force.
     * @returns number of claims removed
     */
    expire(before: number): number {
        const cutoff = Math.min(before, this.#newestAppendedAt - this.#rememberMs);
        for (const [request, releasedAt] of this.#released) {
            if (releasedAt >= cutoff) {
                break;
            }
            this.#released.delete(request);
        }
        let dropped = 0;
        for (const claim of this.#claims.values()) {
            if (claim.claimedAt >= cutoff) {
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
        const releasedAt = this.#released.get(createRequestKey(record));
        if (releasedAt !== undefined && this.#isInForce(releasedAt)) {
            return false;
        }
        this.#claims.delete(record.key);
        this.#claims.set(record.key, {
            key: record.key,
            session: record.session,
            requestId: record.requestId,
            fingerprint: record.fingerprint,
            offset,
            claimedAt: this.#newestAppendedAt,
            settled: undefined,
        });
        return true;
    }

    /** Releases the claim. The release also defeats a claim of the same request that is appended after it. */
    #release(record: schema.log.KeyReleased): void {
        const holder = this.get(record.key);
        const isHolder = holder !== undefined && isSameRequest(holder, record);
        if (isHolder && holder.settled !== undefined) {
            return;
        }
        const request = createRequestKey(record);
        this.#released.delete(request);
        this.#released.set(request, this.#newestAppendedAt);
        if (isHolder) {
            this.#claims.delete(record.key);
        }
    }

    /** Only the first settlement of a claim takes effect. */
    #settle(record: schema.log.KeySettled): void {
        const holder = this.get(record.key);
        if (holder === undefined || holder.settled !== undefined || !isSameRequest(holder, record)) {
            return;
        }
        const settled = { outcome: record.outcome, status: record.status };
        this.#claims.set(record.key, { ...holder, settled });
    }

    #isInForce(at: number): boolean {
        return at >= this.#newestAppendedAt - this.#rememberMs;
    }
}

function isSameRequest(claim: ClaimState, record: schema.log.ClaimRecord): boolean {
    return claim.session === record.session && claim.requestId === record.requestId;
}

/** Encodes the parts as JSON because they may contain any character that could serve as a separator. */
function createRequestKey(record: schema.log.ClaimRecord): string {
    return JSON.stringify([record.key, record.session, record.requestId]);
}
