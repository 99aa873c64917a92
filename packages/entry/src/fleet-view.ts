/**
 * Holds the fleet state that this process has read, and tells authors what became of their records.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as platform from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";

/** Entries kept for peers that can't read the log themselves. */
const keptEntries = 2_000;
/** Entries with their verdicts kept for operators. */
const keptVerdicts = 500;

/** What the fold made of a record. */
export interface Settlement {
    readonly offset: number;
    readonly verdict: fleetState.Verdict;
}

/** An entry with its verdict, for the operators' log view. */
export interface JudgedEntry {
    readonly entry: platform.LogEntry;
    readonly verdict: fleetState.Verdict;
}

/** The part of a stream that the view appends through. */
export interface RecordStream {
    append(
        record: { readonly id: string; },
        deadline: number,
    ): Promise<neverthrow.Result<number, errors.PlatformError>>;
}

export class FleetView {
    #state = fleetState.emptyFleetState;
    readonly #verdicts = new Map<string, fleetState.Verdict | undefined>();
    readonly #listeners: (() => void)[] = [];
    readonly #renewalReadAt = new Map<string, number>();
    #recent: JudgedEntry[] = [];

    /** The newest state. */
    get state(): fleetState.FleetState {
        return this.#state;
    }

    /** Judged entries, oldest first. */
    get recent(): readonly JudgedEntry[] {
        return this.#recent.slice(-keptVerdicts);
    }

    /** Clock time in ms at which a session's newest renewal was read. */
    renewalReadAt(session: string): number | undefined {
        return this.#renewalReadAt.get(session);
    }

    /** Calls `listener` after each change. */
    listen(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Applies entries read from the log at `now` (clock ms). */
    applyEntries(entries: readonly platform.LogEntry[], now: number): void {
        for (const entry of entries) {
            this.#applyEntry(entry, now);
        }
        this.#recent = this.#recent.slice(-keptEntries);
        this.#notify();
    }

    #applyEntry(entry: platform.LogEntry, now: number): void {
        const application = fleetState.applyEntry(this.#state, entry);
        this.#state = application.state;
        this.#recent.push({ entry, verdict: application.verdict });
        const record = application.record;
        if (record === undefined) {
            return;
        }
        if (this.#verdicts.has(record.id) && this.#verdicts.get(record.id) === undefined) {
            this.#verdicts.set(record.id, application.verdict);
        }
        if (application.verdict.applied) {
            this.#noteRenewal(record, now);
        }
    }

    #noteRenewal(record: schema.log.FleetRecord, now: number): void {
        if (record.kind === "session-opened" || record.kind === "session-renewed") {
            this.#renewalReadAt.set(record.session, now);
        }
        if (record.kind === "session-closed") {
            this.#renewalReadAt.delete(record.session);
        }
    }

    /** Takes a restored state, unless it is older than the one held. Returns whether it was taken. */
    loadState(state: fleetState.FleetState, now: number): boolean {
        if (state.nextOffset < this.#state.nextOffset) {
            return false;
        }
        this.#state = state;
        this.#recent = [];
        for (const session of state.sessions.keys()) {
            this.#renewalReadAt.set(session, now);
        }
        this.#notify();
        return true;
    }

    #notify(): void {
        for (const listener of this.#listeners) {
            listener();
        }
    }

    /** Entries from an offset on, if all of them are still held. */
    listEntriesFrom(offset: number): readonly platform.LogEntry[] | undefined {
        if (offset >= this.#state.nextOffset) {
            return [];
        }
        const first = this.#recent[0];
        if (first === undefined || first.entry.offset > offset) {
            return undefined;
        }
        return this.#recent.map(judged => judged.entry).filter(entry => entry.offset >= offset);
    }

    /**
     * Appends a record and waits until it was read back and judged.
     * @param deadline clock time in ms.
     */
    async propose(
        stream: RecordStream,
        record: schema.log.FleetRecord,
        deadline: number,
    ): Promise<neverthrow.Result<Settlement, errors.PlatformError>> {
        this.#verdicts.set(record.id, undefined);
        const appended = await stream.append(record, deadline);
        const verdict = this.#verdicts.get(record.id);
        this.#verdicts.delete(record.id);
        return appended.andThen(offset =>
            verdict === undefined
                ? neverthrow.err(createMissingVerdict(record.id))
                : neverthrow.ok({ offset, verdict })
        );
    }
}

function createMissingVerdict(id: string): errors.PlatformError {
    return {
        layer: "platform",
        fault: errors.PlatformFault.unanswered,
        reason: `record ${id} was passed over by a snapshot`,
    };
}
