/**
 * Key claims that were abandoned before their requests were dispatched. Such a request never runs, so its key is
 * released in the log and another request can claim it.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time limit in ms for appending the release of a key. */
const releaseTimeoutMs = 60_000;

/** Identifies a claim and the request that made it. */
export type ClaimedRequest = Pick<fleetState.ClaimState, "key" | "session" | "requestId">;

export interface AbandonedClaimsOptions {
    readonly stream: fleetView.RecordAppender;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
}

export class AbandonedClaims {
    readonly #options: AbandonedClaimsOptions;
    /** Clock time in ms at which each claim was abandoned, by request id; oldest first. */
    readonly #abandonedAt = new Map<string, number>();
    readonly #releasing = new Set<string>();

    constructor(options: AbandonedClaimsOptions) {
        this.#options = options;
    }

    /** Marks the claim of a request as abandoned; the caller must never dispatch the request afterwards. */
    add(requestId: string): void {
        this.#abandonedAt.set(requestId, this.#options.clock());
    }

    has(requestId: string): boolean {
        return this.#abandonedAt.has(requestId);
    }

    /** Releases the key of an abandoned claim, unless its release is being appended. Other claims are left alone. */
    releaseKey(claim: ClaimedRequest): void {
        if (this.has(claim.requestId) && !this.#releasing.has(claim.requestId)) {
            void this.#appendRelease(claim);
        }
    }

    async #appendRelease({ key, session, requestId }: ClaimedRequest): Promise<void> {
        this.#releasing.add(requestId);
        this.#options.metrics.count("key_events", "released");
        const record: schema.log.KeyReleased = {
            ...records.createHeader(session),
            kind: "key-released",
            key,
            session,
            requestId,
        };
        await this.#options.stream.append(record, this.#options.clock() + releaseTimeoutMs);
        this.#releasing.delete(requestId);
    }

    /** Drops abandoned claims that are older than the retention time of keys. `now` is clock time in ms. */
    expire(now: number): void {
        for (const [requestId, since] of this.#abandonedAt) {
            if (now - since < this.#options.rememberMs) {
                return;
            }
            this.#abandonedAt.delete(requestId);
        }
    }
}
