/**
 * Cancellations of jobs that weren't stored when they were cancelled. An append of the submission that got no answer may still be
 * carried out, also after the process that sent it has ended, so only a record that is stored before it keeps the job from
 * running.
 *
 * They hold for the jobs of one queue and one organisation: another caller's job may have the same ID. They are kept for as long
 * as an append may be late, and then removed.
 */
import * as crypto from "node:crypto";
import type * as jobs from "./job.js";

/**
 * Time in ms for which such a cancellation is kept: longer than a submission that arrived before it can be written, and carried out
 * late.
 */
export const advanceCancellationTime = 30_000;

/** Which jobs a cancellation holds for. */
export interface CancellationScope {
    readonly id: string;
    readonly queue: string;
    /** Organisation of the caller; `undefined` if its request needed no key. */
    readonly organisation: string | undefined;
}

export interface AdvanceCancellation extends CancellationScope {
    /** Unix time in ms. */
    readonly cancelledAt: number;
}

/** Last part of the key under which a cancellation of the scope is stored: names may be longer than a key. */
export function digestScope({ queue, organisation }: CancellationScope): string {
    const text = JSON.stringify(organisation === undefined ? [queue] : [queue, organisation]);
    return crypto.createHash("sha256").update(text).digest("hex").slice(0, 16);
}

/** Whether the job is one of the scope: its organisation's own, or one that belongs to none. */
export function isInScope(
    job: Pick<jobs.Job, "id" | "queue" | "organisation">,
    { id, queue, organisation }: CancellationScope,
): boolean {
    return job.id === id && job.queue === queue
        && (job.organisation === undefined || job.organisation === organisation);
}

export class AdvanceCancellations {
    /** By the key of their record. */
    readonly #byKey = new Map<string, AdvanceCancellation>();
    /** Keys of their records by job ID. */
    readonly #keys = new Map<string, Set<string>>();

    get size(): number {
        return this.#byKey.size;
    }

    /** Newest cancellations by the key of their record. */
    get entries(): ReadonlyMap<string, AdvanceCancellation> {
        return this.#byKey;
    }

    set(key: string, cancellation: AdvanceCancellation): void {
        this.#byKey.set(key, cancellation);
        const keys = this.#keys.get(cancellation.id) ?? new Set();
        this.#keys.set(cancellation.id, keys.add(key));
    }

    delete(key: string): void {
        const id = this.#byKey.get(key)?.id;
        if (id === undefined) {
            return;
        }
        this.#byKey.delete(key);
        const keys = this.#keys.get(id);
        keys?.delete(key);
        if (keys?.size === 0) {
            this.#keys.delete(id);
        }
    }

    /** Drops those whose records aren't among the newest ones any more. */
    dropRemoved(newestKeys: ReadonlySet<string>): void {
        for (const key of [...this.#byKey.keys()].filter(one => !newestKeys.has(one))) {
            this.delete(key);
        }
    }

    /** The cancellation that holds for the job. */
    find(job: Pick<jobs.Job, "id" | "queue" | "organisation">): AdvanceCancellation | undefined {
        for (const key of this.#keys.get(job.id) ?? []) {
            const found = this.#byKey.get(key)!;
            if (isInScope(job, found)) {
                return found;
            }
        }
        return undefined;
    }
}
