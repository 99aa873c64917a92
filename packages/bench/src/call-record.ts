/**
 * What a caller asked and was told, as the bench records it.
 */
import * as types from "@catkinwharf/types";

/** One attempt of a call. Times are wall-clock time in ms since 1970. */
export interface Attempt {
    readonly entry: string;
    readonly startedAt: number;
    readonly endedAt: number;
    /** What the response said; `lost` if there was no whole response. */
    readonly outcome: types.Outcome | "lost";
    readonly reason: string;
    readonly status: number;
    /** Whether an answered response belonged to this call. */
    readonly matched: boolean;
}

/** A call, with all of its attempts under one key. */
export interface Call {
    readonly id: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    /** Idempotency key; undefined for idempotent calls. */
    readonly key: string | undefined;
    readonly urgency: number;
    /** Time at which the schedule wanted the call, from which its latency counts. */
    readonly dueAt: number;
    /** Run time in ms that the stand-in was asked for. */
    readonly runMs?: number;
    readonly attempts: readonly Attempt[];
}

/** What the caller knows in the end. */
export function readFinal(call: Call): Attempt | undefined {
    return call.attempts[call.attempts.length - 1];
}

/** Count of calls by what they were told last. */
export interface CallCount {
    readonly label: string;
    readonly calls: number;
}

/** Counts calls by final outcome and reason. */
export function countFinals(calls: readonly Call[]): readonly CallCount[] {
    const counts = new Map<string, number>();
    for (const call of calls) {
        const final = readFinal(call);
        const label = final === undefined
            ? "not sent"
            : `${final.outcome}${final.reason === "" ? "" : ` ${final.reason}`}`;
        counts.set(label, (counts.get(label) ?? 0) + 1);
    }
    return [...counts].map(([label, number]) => ({ label, calls: number })).sort((a, b) => b.calls - a.calls);
}
