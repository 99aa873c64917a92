/**
 * Bounds how many cancellations of unknown jobs a process keeps stored, each of which takes memory in all processes until it is
 * removed. Callers share the room: a queue may keep as many as are free, and a connection as many as are left of those, so a crowd of
 * calls from one leaves some for others. A part is for callers that keep few.
 */

/** Cancellations that a process may have stored at a time. */
const maxHeld = 500;
/** Part of them that is left to callers that keep few, and how many these keep at most. */
const reservedShare = 0.25;
const fewHeld = 3;
/** From this number of all processes on only callers that keep few may add one, up to the second. */
const crowdedTotal = 5000;
const maxTotal = 2 * crowdedTotal;

interface HeldCancellation {
    readonly callers: readonly string[];
    /** Monotonic time in ms at which it is gone. */
    readonly until: number;
}

export class CancellationRoom {
    /** In the order in which they end. */
    #held: HeldCancellation[] = [];

    constructor(private readonly limit = maxHeld) {}

    /**
     * Takes room for `duration` ms, the same for all.
     *
     * @param callers names of the caller and of what it is part of, which comes first; each has its share
     * @param now monotonic time in ms
     * @param total cancellations of all processes that are known to be stored
     * @returns ms after which there is room for the caller, 0 if it was taken
     */
    take(callers: readonly string[], duration: number, now: number, total = 0): number {
        this.#held = this.#held.filter(({ until }) => until > now);
        const counts = new Map(callers.map(caller => [caller, this.#count(caller)]));
        const own = [...counts.values()].at(-1) ?? 0;
        if (total >= maxTotal || (total >= crowdedTotal && own >= fewHeld)) {
            return duration;
        }
        let free = this.limit - this.#held.length;
        if (hasRoom(counts, free, this.limit * reservedShare)) {
            this.#held.push({ callers, until: now + duration });
            return 0;
        }
        for (const held of this.#held) {
            free += 1;
            held.callers.forEach(caller => counts.has(caller) && counts.set(caller, counts.get(caller)! - 1));
            if (hasRoom(counts, free, this.limit * reservedShare)) {
                return held.until - now;
            }
        }
        return duration;
    }

    #count(caller: string): number {
        return this.#held.filter(({ callers }) => callers.includes(caller)).length;
    }
}

/** Whether the caller may keep one more: all its names together keep less than is free of the shared part, or the last one few. */
function hasRoom(counts: ReadonlyMap<string, number>, free: number, reserved: number): boolean {
    let left = free - reserved;
    for (const count of counts.values()) {
        left -= count;
    }
    const own = [...counts.values()].at(-1) ?? 0;
    return left > 0 || (free > 0 && own < fewHeld);
}
