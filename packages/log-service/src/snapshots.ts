/**
 * Single reads and appends on streams that no process follows, such as the snapshots.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as endpoints from "./endpoints.js";
import type * as follower from "./follower.js";
import * as responses from "./responses.js";
import * as serviceClient from "./service-client.js";

/** Name of the stream that holds the snapshots. */
export const snapshotStream = "snapshots";

const statusGone = 410;

type EntryOutcome = neverthrow.Result<follower.LogEntry | undefined, errors.PlatformError>;
type ReadOutcome = neverthrow.Result<schema.platform.ReadAnswer, errors.PlatformError>;

/**
 * Reads the newest entry of the `snapshots` stream whose body matches the schema; undefined if there is none. Reads are
 * not retried.
 *
 * @param isUsable returns false for an entry that matches the schema but can't be used; an older one is tried then
 */
export async function readLastSnapshot(
    options: serviceClient.ServiceClientOptions,
    isUsable: (entry: follower.LogEntry) => boolean = () => true,
): Promise<EntryOutcome> {
    const client = new serviceClient.ServiceClient(options);
    try {
        const bounds = await readBounds(client);
        return bounds.isErr() ? neverthrow.err(bounds.error) : await searchBackwards(client, bounds.value, isUsable);
    }
    finally {
        client.close();
    }
}

/**
 * Appends one record without reading it back. An append that fails as `unanswered` may have taken effect; the caller
 * can repeat it with the same id.
 */
export async function appendOnce(
    options: serviceClient.ServiceClientOptions,
    stream: string,
    record: { readonly id: string; },
): Promise<neverthrow.Result<schema.platform.AppendAnswer, errors.PlatformError>> {
    const client = new serviceClient.ServiceClient(options);
    const outcome = await client.sendValidated({
        method: "POST",
        path: endpoints.formatAppendPath(stream),
        body: { entries: [record] } satisfies schema.platform.AppendRequest,
        validate: schema.validators.platformAppendAnswer,
    });
    client.close();
    return outcome;
}

/** Reads at offset 0 to learn the stream's bounds; if that offset is no longer kept, reads again at the oldest one. */
async function readBounds(client: serviceClient.ServiceClient): Promise<ReadOutcome> {
    const first = await requestEntryAt(client, 0);
    if (first.isOk() && first.value.status === statusGone) {
        return readEntryAt(client, responses.parseOldestOffset(first.value) ?? 0);
    }
    return first.andThen(response => responses.parseMessage(response, schema.validators.platformReadAnswer));
}

async function searchBackwards(
    client: serviceClient.ServiceClient,
    bounds: schema.platform.ReadAnswer,
    isUsable: (entry: follower.LogEntry) => boolean,
): Promise<EntryOutcome> {
    for (let offset = bounds.headOffset - 1; offset >= bounds.oldestOffset; offset--) {
        const read = await readEntryAt(client, offset);
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

async function readEntryAt(client: serviceClient.ServiceClient, from: number): Promise<ReadOutcome> {
    const outcome = await requestEntryAt(client, from);
    return outcome.andThen(response => responses.parseMessage(response, schema.validators.platformReadAnswer));
}

function requestEntryAt(
    client: serviceClient.ServiceClient,
    from: number,
): ReturnType<serviceClient.ServiceClient["send"]> {
    const path = endpoints.formatReadPath({ stream: snapshotStream, from, waitMs: 0, limit: 1 });
    return client.send({ method: "GET", path });
}
