/**
 * Holds the fleet state as this process has read it from the log, and returns the verdicts on appended records to their
 * authors.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as logService from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";

/** Entries retained for peers that can't read the log themselves. */
const maxRetainedEntries = 2_000;
/** Entries shown in the operators' log view. */
const maxListedEntries = 500;

/** Offset and verdict of a record that was appended and read back. */
export interface ProposalResult {
    readonly offset: number;
    readonly verdict: fleetState.Verdict;
}

/** A log entry with the verdict on its record. */
export interface EntryWithVerdict {
    readonly entry: logService.LogEntry;
    readonly verdict: fleetState.Verdict;
}

/** Appends records to a stream; resolves once the record was read back, with its offset. */
export interface RecordAppender {
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
    #recentEntries: EntryWithVerdict[] = [];

    /** The newest state. */
    get state(): fleetState.FleetState {
        return this.#state;
    }

    /** The newest applied entries, oldest first. */
    get recentEntries(): readonly EntryWithVerdict[] {
        return this.#recentEntries.slice(-maxListedEntries);
    }

    /** Clock time in ms at which a session's newest renewal was read; undefined if the session isn't open. */
    renewalReadAt(session: string): number | undefined {
        return this.#renewalReadAt.get(session);
    }

    /** Calls `listener` after each change of the state. */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /** Applies entries read from the log at `now` (clock time in ms). */
    applyEntries(entries: readonly logService.LogEntry[], now: number): void {
        for (const entry of entries) {
            this.#applyEntry(entry, now);
        }
        this.#recentEntries = this.#recentEntries.slice(-maxRetainedEntries);
        this.#notify();
    }

    #applyEntry(entry: logService.LogEntry, now: number): void {
        const application = fleetState.applyEntry(this.#state, entry);
        this.#state = application.state;
        this.#recentEntries.push({ entry, verdict: application.verdict });
        const record = application.record;
        if (record === undefined) {
            return;
        }
        if (this.#verdicts.has(record.id) && this.#verdicts.get(record.id) === undefined) {
            this.#verdicts.set(record.id, application.verdict);
        }
        if (application.verdict.applied) {
            this.#recordRenewal(record, now);
        }
    }

    #recordRenewal(record: schema.log.FleetRecord, now: number): void {
        if (record.kind === "session-opened" || record.kind === "session-renewed") {
            this.#renewalReadAt.set(record.session, now);
        }
        if (record.kind === "session-closed") {
            this.#renewalReadAt.delete(record.session);
        }
    }

    /** Replaces the state by a restored one, unless that is older. Returns whether it was replaced. */
    loadState(state: fleetState.FleetState, now: number): boolean {
        if (state.nextOffset < this.#state.nextOffset) {
            return false;
        }
        this.#state = state;
        this.#recentEntries = [];
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

    /** Entries from an offset on; undefined if some of them are no longer retained. */
    listEntriesFrom(offset: number): readonly logService.LogEntry[] | undefined {
        if (offset >= this.#state.nextOffset) {
            return [];
        }
        const first = this.#recentEntries[0];
        if (first === undefined || first.entry.offset > offset) {
            return undefined;
        }
        return this.#recentEntries.map(retained => retained.entry).filter(entry => entry.offset >= offset);
    }

    /**
     * Appends a record and waits until it was read back and applied or ignored.
     * @param deadline clock time in ms.
     */
    async propose(
        stream: RecordAppender,
        record: schema.log.FleetRecord,
        deadline: number,
    ): Promise<neverthrow.Result<ProposalResult, errors.PlatformError>> {
        this.#verdicts.set(record.id, undefined);
        const appended = await stream.append(record, deadline);
        const verdict = this.#verdicts.get(record.id);
        this.#verdicts.delete(record.id);
        return appended.andThen(offset =>
            verdict === undefined
                ? neverthrow.err(createMissingVerdictError(record.id))
                : neverthrow.ok({ offset, verdict })
        );
    }
}

function createMissingVerdictError(id: string): errors.PlatformError {
    return {
        layer: "platform",
        fault: errors.PlatformFault.unanswered,
        reason: `record ${id} was passed over by a snapshot`,
    };
}
