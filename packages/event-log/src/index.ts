/**
 * Structured lines on standard output, one for each decision that touches a request or changes a belief.
 *
 * The volume is bounded for each kind of event and second; what goes over is counted and told once a second. Writing
 * never blocks: lines that the reader doesn't take in time are dropped.
 */
import * as pino from "pino";

/** What a line says beside its event; values are inputs, their age or version, and the outcome. */
export type Fields = Readonly<Record<string, unknown>>;

export interface EventLog {
    /** Events so far by name, with those whose lines were dropped. */
    readonly counts: ReadonlyMap<string, number>;
    /** Something that an operator should look at. */
    warn(event: string, fields: Fields): void;
    info(event: string, fields: Fields): void;
}

/** Lines of one kind in one second; more are counted only. Enough for the busiest second of a small deployment. */
const maxLinesPerEvent = 50;
/** Bytes that wait for the reader of standard output before lines are dropped. */
const maxWaitingBytes = 1_048_576;
/** Bytes gathered before one write, to spare system calls. */
const gatheredBytes = 4096;
/** Time in ms after which gathered lines are written even if they are few. */
const flushInterval = 250;

interface Budget {
    second: number;
    lines: number;
    dropped: number;
}

/** Writes bounded lines by `write`; `now` gives Unix time in ms. Exported for tests. */
export function createBoundedLog(
    write: (level: "info" | "warn", event: string, fields: Fields) => void,
    now: () => number,
): EventLog {
    const budgets = new Map<string, Budget>();
    const counts = new Map<string, number>();
    function log(level: "info" | "warn", event: string, fields: Fields): void {
        counts.set(event, (counts.get(event) ?? 0) + 1);
        const second = Math.floor(now() / 1000);
        let budget = budgets.get(event);
        if (budget === undefined) {
            budget = { second, lines: 0, dropped: 0 };
            budgets.set(event, budget);
        }
        if (budget.second !== second) {
            if (budget.dropped > 0) {
                write("warn", "log-lines-dropped", { of: event, dropped: budget.dropped, second: budget.second });
            }
            budget.second = second;
            budget.lines = 0;
            budget.dropped = 0;
        }
        if (budget.lines >= maxLinesPerEvent) {
            budget.dropped += 1;
            return;
        }
        budget.lines += 1;
        write(level, event, fields);
    }
    return {
        counts,
        warn: (event, fields) => log("warn", event, fields),
        info: (event, fields) => log("info", event, fields),
    };
}

/** The log of this process, on standard output. */
export function createEventLog(node: string): EventLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: gatheredBytes,
        maxLength: maxWaitingBytes,
    });
    const timer = setInterval(() => destination.flush(), flushInterval);
    timer.unref();
    const logger = pino.pino({ base: { node }, timestamp: pino.stdTimeFunctions.epochTime }, destination);
    return createBoundedLog((level, event, fields) => logger[level]({ event, ...fields }), Date.now);
}

/** A log that drops everything, for tests. */
export const silentEventLog: EventLog = { counts: new Map(), warn: () => undefined, info: () => undefined };
