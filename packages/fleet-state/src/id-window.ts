/**
 * An immutable set of the most recently added ids.
 *
 * The ids are kept in chunks of equal size, so that an addition copies one chunk and not the whole set. Eviction drops
 * the oldest chunk as a whole: a full window holds at least its capacity and at most one chunk more.
 */

/** Ids in insertion order. */
export interface IdWindow {
    readonly capacity: number;
    readonly chunks: readonly ReadonlySet<string>[];
}

const chunkSize = 250;

/** Creates an empty window that keeps at least the newest `capacity` ids. */
export function createIdWindow(capacity: number): IdWindow {
    return { capacity, chunks: [] };
}

export function hasId(window: IdWindow, id: string): boolean {
    return window.chunks.some(chunk => chunk.has(id));
}

/** Returns the window with an id added that it does not contain yet. */
export function addId(window: IdWindow, id: string): IdWindow {
    const last = window.chunks.at(-1);
    if (last === undefined || last.size >= chunkSize) {
        return { ...window, chunks: [...dropOldest(window), new Set([id])] };
    }
    return { ...window, chunks: [...window.chunks.slice(0, -1), new Set(last).add(id)] };
}

function dropOldest(window: IdWindow): readonly ReadonlySet<string>[] {
    const maxChunks = Math.ceil(window.capacity / chunkSize);
    return window.chunks.length > maxChunks ? window.chunks.slice(1) : window.chunks;
}

/** All ids, oldest first. */
export function listIds(window: IdWindow): string[] {
    return window.chunks.flatMap(chunk => [...chunk]);
}

/** Restores a window from the result of `listIds`; the ids must be distinct. */
export function restoreIds(capacity: number, ids: readonly string[]): IdWindow {
    const chunkCount = Math.ceil(ids.length / chunkSize);
    const chunks = Array.from(
        { length: chunkCount },
        (_, index) => new Set(ids.slice(index * chunkSize, (index + 1) * chunkSize)),
    );
    return { capacity, chunks };
}
