/**
 * Single reads and appends of streams that nobody follows, such as the snapshots.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as answers from "./answers.js";
import * as endpoints from "./endpoints.js";
import type * as follower from "./follower.js";
import * as service from "./service.js";

/** Stream that holds the snapshots. */
export const snapshotStream = "snapshots";

const statusGone = 410;

type EntryOutcome = neverthrow.Result<follower.LogEntry | undefined, errors.PlatformError>;
type ReadOutcome = neverthrow.Result<schema.platform.ReadAnswer, errors.PlatformError>;

/**
 * Newest entry of the `snapshots` stream whose body follows the schema; undefined if there is none. Each read is one
 * attempt.
 *
 * @param isUsable refuses entries that follow the schema and still can't be used; older ones are tried then
 */
export async function readLastSnapshot(
    options: service.ServiceOptions,
    isUsable: (entry: follower.LogEntry) => boolean = () => true,
): Promise<EntryOutcome> {
    const log = new service.Service(options);
    try {
        const bounds = await readBounds(log);
        return bounds.isErr() ? neverthrow.err(bounds.error) : await searchBackwards(log, bounds.value, isUsable);
    }
    finally {
        log.close();
    }
}

/**
 * Appends one record without reading it back. An `unanswered` append may have taken effect; repeat it with the same id.
 */
export async function appendOnce(
    options: service.ServiceOptions,
    stream: string,
    record: { readonly id: string; },
): Promise<neverthrow.Result<schema.platform.AppendAnswer, errors.PlatformError>> {
    const log = new service.Service(options);
    const outcome = await log.askChecked({
        method: "POST",
        path: endpoints.formatAppendPath(stream),
        body: { entries: [record] } satisfies schema.platform.AppendRequest,
        validate: schema.validators.platformAppendAnswer,
    });
    log.close();
    return outcome;
}

/** A first read; when the start of the stream is no longer kept, a second one at the oldest offset. */
async function readBounds(log: service.Service): Promise<ReadOutcome> {
    const first = await askOne(log, 0);
    if (first.isOk() && first.value.status === statusGone) {
        return readOne(log, answers.readOldestOffset(first.value) ?? 0);
    }
    return first.andThen(answer => answers.readMessage(answer, schema.validators.platformReadAnswer));
}

async function searchBackwards(
    log: service.Service,
    bounds: schema.platform.ReadAnswer,
    isUsable: (entry: follower.LogEntry) => boolean,
): Promise<EntryOutcome> {
    for (let offset = bounds.headOffset - 1; offset >= bounds.oldestOffset; offset--) {
        const read = await readOne(log, offset);
        if (read.isErr()) {
            return neverthrow.err(read.error);
        }
        const entry = read.value.entries.find(candidate => candidate.offset === offset);
        if (entry !== undefined && schema.validators.logSnapshot(entry.body) && isUsable(entry)) {
            return neverthrow.ok(entry);
        }
    }
    return neverthrow.ok(undefined);
}

async function readOne(log: service.Service, from: number): Promise<ReadOutcome> {
    const outcome = await askOne(log, from);
    return outcome.andThen(answer => answers.readMessage(answer, schema.validators.platformReadAnswer));
}

function askOne(log: service.Service, from: number): ReturnType<service.Service["ask"]> {
    const path = endpoints.formatReadPath({ stream: snapshotStream, from, waitMs: 0, limit: 1 });
    return log.ask({ method: "GET", path });
}
