/**
 * Claims that were given up before their requests were dispatched. Such a request never runs, so its key is released in
 * the log for the next one that asks.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time in ms that one try to append a release may take. */
const releaseTimeoutMs = 60_000;

/** A claim that names its request. */
export type ClaimedRequest = Pick<fleetState.ClaimState, "key" | "session" | "requestId">;

export interface AbandonedParts {
    readonly stream: fleetView.RecordStream;
    readonly metrics: metrics.Metrics;
    readonly rememberMs: number;
    readonly clock: () => number;
}

export class AbandonedClaims {
    readonly #parts: AbandonedParts;
    /** Clock time in ms at which each request was given up. */
    readonly #since = new Map<string, number>();
    readonly #releasing = new Set<string>();

    constructor(parts: AbandonedParts) {
        this.#parts = parts;
    }

    /** From now on the request is never dispatched. */
    add(requestId: string): void {
        this.#since.set(requestId, this.#parts.clock());
    }

    has(requestId: string): boolean {
        return this.#since.has(requestId);
    }

    /** Releases the key of a claim that stands in the log, unless a release is on its way or the claim is in use. */
    release(claim: ClaimedRequest): void {
        if (this.has(claim.requestId) && !this.#releasing.has(claim.requestId)) {
            void this.#append(claim);
        }
    }

    async #append({ key, session, requestId }: ClaimedRequest): Promise<void> {
        this.#releasing.add(requestId);
        this.#parts.metrics.count("key_events", "released");
        const record: schema.log.KeyReleased = {
            ...records.createHeader(session),
            kind: "key-released",
            key,
            session,
            requestId,
        };
        await this.#parts.stream.append(record, this.#parts.clock() + releaseTimeoutMs);
        this.#releasing.delete(requestId);
    }

    /** Forgets what is older than keys are remembered. `now` is clock time in ms. */
    expire(now: number): void {
        for (const [requestId, since] of this.#since) {
            if (now - since < this.#parts.rememberMs) {
                return;
            }
            this.#since.delete(requestId);
        }
    }
}
