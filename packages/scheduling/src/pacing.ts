/**
 * How fast fillers may work beside tasks that serve users.
 *
 * Load: interference that differs by image and changes within seconds. A filler is slowed at once when a tail nears its
 * target, and let go again in small steps, so that a server settles below the target.
 */

/** A serving task on a server. */
export interface Serving {
    /** Tail of its response times in ms, as its server told last; `undefined` before it is known. */
    readonly tail: number | undefined;
    /** Ms that the tail must stay below. */
    readonly target: number;
}

/** Share of the target from which fillers are slowed. */
const brakeFrom = 0.85;
/** Share of the target up to which fillers may speed up. */
const easeUpTo = 0.65;
/** Share of its pace that a filler keeps when a tail nears its target, and when it is over. */
const nearKeep = 0.6;
const overKeep = 0.25;
/** Percent by which a filler's pace rises at a time. */
const easeStep = 10;
/** Percent below which a filler stands still. */
const leastPace = 5;

/** Percent at which fillers may work from now on, given their present pace. */
export function decidePace(serving: readonly Serving[], pace: number): number {
    const load = Math.max(
        0,
        ...serving.map(one => one.target > 0 && one.tail !== undefined ? one.tail / one.target : 0),
    );
    if (load >= 1) {
        return floor(pace * overKeep);
    }
    if (load >= brakeFrom) {
        return floor(pace * nearKeep);
    }
    return load <= easeUpTo ? Math.min(100, pace + easeStep) : pace;
}

function floor(pace: number): number {
    return pace < leastPace ? 0 : Math.round(pace);
}
