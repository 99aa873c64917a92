/**
 * An immutable set of the ids that were added last.
 *
 * The ids stand in chunks of equal size, so that an addition copies one chunk and not the whole set. Whole chunks are
 * forgotten, oldest first: the window holds at least its capacity and at most one chunk more.
 */

/** Ids in the order of their addition. */
export interface IdWindow {
    readonly capacity: number;
    readonly chunks: readonly ReadonlySet<string>[];
}

const chunkSize = 250;

/** An empty window that keeps at least `capacity` ids. */
export function createIdWindow(capacity: number): IdWindow {
    return { capacity, chunks: [] };
}

export function hasId(window: IdWindow, id: string): boolean {
    return window.chunks.some(chunk => chunk.has(id));
}

/** The window with an id that it does not hold. */
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

/** The window that `listIds` listed; `ids` are distinct. */
export function restoreIds(capacity: number, ids: readonly string[]): IdWindow {
    const chunkCount = Math.ceil(ids.length / chunkSize);
    const chunks = Array.from(
        { length: chunkCount },
        (_, index) => new Set(ids.slice(index * chunkSize, (index + 1) * chunkSize)),
    );
    return { capacity, chunks };
}
