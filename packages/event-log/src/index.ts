/**
 * Writes structured log lines to standard output: one for each decision that affects a request and for each change in
 * what this process knows of the system.
 *
 * The number of lines is limited per event name and second. Lines above the limit are dropped and counted. When the
 * event next occurs in a later second, their number is logged first, in a "log-lines-dropped" line. Writing never
 * blocks: when the reader of standard output is too slow, lines are dropped.
 */
import * as pino from "pino";

/** Fields of a line besides its event name: inputs of the decision, their age or version, and the outcome. */
export type Fields = Readonly<Record<string, unknown>>;

export interface EventLog {
    /** Number of events so far by name, including those whose lines were dropped. */
    readonly counts: ReadonlyMap<string, number>;
    /** Logs an event that an operator should look at. */
    warn(event: string, fields: Fields): void;
    info(event: string, fields: Fields): void;
}

/** Maximum lines per event name and second; enough for the busiest second of a small deployment. */
const maxLinesPerEvent = 50;
/** Maximum bytes buffered for the reader of standard output; lines beyond that are dropped. */
const maxBufferedBytes = 1_048_576;
/** Bytes buffered before a write, to reduce the number of system calls. */
const minWriteBytes = 4096;
/** Time in ms between two flushes of the buffer, however little it holds. */
const flushInterval = 250;

/** Lines of one event name in the second in which it last occurred. */
interface RateWindow {
    /** Unix time in s. */
    second: number;
    lines: number;
    dropped: number;
}

/** Limits the rate of lines and passes them to `write`; `now` returns Unix time in ms. Exported for tests. */
export function createRateLimitedLog(
    write: (level: "info" | "warn", event: string, fields: Fields) => void,
    now: () => number,
): EventLog {
    const windows = new Map<string, RateWindow>();
    const counts = new Map<string, number>();
    function log(level: "info" | "warn", event: string, fields: Fields): void {
        counts.set(event, (counts.get(event) ?? 0) + 1);
        const second = Math.floor(now() / 1000);
        let window = windows.get(event);
        if (window === undefined) {
            window = { second, lines: 0, dropped: 0 };
            windows.set(event, window);
        }
        if (window.second !== second) {
            if (window.dropped > 0) {
                write("warn", "log-lines-dropped", { of: event, dropped: window.dropped, second: window.second });
            }
            window.second = second;
            window.lines = 0;
            window.dropped = 0;
        }
        if (window.lines >= maxLinesPerEvent) {
            window.dropped += 1;
            return;
        }
        window.lines += 1;
        write(level, event, fields);
    }
    return {
        counts,
        warn: (event, fields) => log("warn", event, fields),
        info: (event, fields) => log("info", event, fields),
    };
}

/**
 * Creates the log of this process, which writes to standard output.
 *
 * @param node name of this entry instance, written in every line
 */
export function createEventLog(node: string): EventLog {
    const destination = pino.destination({
        dest: 1,
        sync: false,
        minLength: minWriteBytes,
        maxLength: maxBufferedBytes,
    });
    const timer = setInterval(() => destination.flush(), flushInterval);
    timer.unref();
    const logger = pino.pino({ base: { node }, timestamp: pino.stdTimeFunctions.epochTime }, destination);
    return createRateLimitedLog((level, event, fields) => logger[level]({ event, ...fields }), Date.now);
}

/** A log that discards every line, for tests. */
export const silentEventLog: EventLog = { counts: new Map(), warn: () => undefined, info: () => undefined };
