/**
 * Throttling of fillers that share a backend server with serving tasks: long-running tasks that answer users.
 *
 * How much a filler slows the serving tasks beside it differs by image, the program that they run, and changes within
 * seconds. Fillers are slowed at once when a tail latency nears its target, and sped up again in small steps, so that
 * the tail latency settles below the target.
 */

/** What is known about one serving task. */
export interface ServingTask {
    /** Tail latency in ms, as last reported by its backend server; `undefined` before the first report. */
    readonly tail: number | undefined;
    /** Ms that the tail latency must stay below; 0 is no limit. */
    readonly target: number;
}

/** Ratio of tail latency to target from which fillers are slowed. */
const slowDownRatio = 0.85;
/** Ratio of tail latency to target up to which fillers are sped up. */
const speedUpRatio = 0.65;
/** Factor that is applied to the pace when a tail latency nears its target. */
const nearTargetFactor = 0.6;
/** Factor that is applied to the pace when a tail latency has reached its target. */
const overTargetFactor = 0.25;
/** Percentage points by which one decision raises the pace. */
const paceIncrement = 10;
/** Percent below which the pace is set to 0, which pauses the filler. */
const minPace = 5;

/**
 * Decides the pace in percent of a filler, given its current pace and the serving tasks on its backend server. Called
 * whenever the server has reported on its runs.
 */
export function decidePace(serving: readonly ServingTask[], pace: number): number {
    const worstRatio = Math.max(
        0,
        ...serving.map(one => one.target > 0 && one.tail !== undefined ? one.tail / one.target : 0),
    );
    if (worstRatio >= 1) {
        return normalizePace(pace * overTargetFactor);
    }
    if (worstRatio >= slowDownRatio) {
        return normalizePace(pace * nearTargetFactor);
    }
    return worstRatio <= speedUpRatio ? Math.min(100, pace + paceIncrement) : pace;
}

function normalizePace(pace: number): number {
    return pace < minPace ? 0 : Math.round(pace);
}
