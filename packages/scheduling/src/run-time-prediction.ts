/**
 * Predicts how long the runs of tasks take, from the ratio of the durations of completed tasks to their callers' estimates.
 *
 * Estimates are off by up to 90%, and a few percent of the tasks run several times as long as the others. So a prediction is
 * conditional on the run's age: a run that is well past the typical duration is most likely one of the long ones.
 *
 * Memory is bounded: a histogram for each queue and step index, in which older tasks count less; the queue whose tasks
 * ended least recently is evicted.
 */

/** Lower bound of the second bucket of a histogram, as a ratio to the estimate. */
const minRatio = 1 / 16;
const bucketsPerOctave = 4;
/** Covers ratios up to 64. */
const bucketCount = 10 * bucketsPerOctave + 1;
/** Weight of a histogram at which all its counts are halved, so that it follows changes. */
const maxWeight = 512;
/** Tasks of a queue's step that have to be done before the estimate alone is no longer used. */
const minSamples = 12;
const maxQueues = 256;
/** Steps of higher index share a histogram. */
const maxStep = 15;
/** Remaining time, as a share of its age, of a run that is older than any that is known. */
const overdueShare = 0.5;
/** Weight of the tasks that took longer than a run's age below which the run counts as older than any that is known. */
const minWeightAbove = 0.5;

interface Histogram {
    readonly counts: Float32Array;
    weight: number;
}

export class RunTimePrediction {
    /** By queue, then by step index; the queue that was recorded last comes last. */
    readonly #queues = new Map<string, Map<number, Histogram>>();

    /**
     * Records that a task of the step is done.
     *
     * @param estimate the caller's, in ms
     * @param duration time in ms for which the task occupied its server
     */
    record(queue: string, step: number, estimate: number, duration: number): void {
        const steps = this.#queues.get(queue) ?? new Map<number, Histogram>();
        this.#queues.delete(queue);
        this.#queues.set(queue, steps);
        if (this.#queues.size > maxQueues) {
            this.#queues.delete(this.#queues.keys().next().value!);
        }
        const index = Math.min(step, maxStep);
        let histogram = steps.get(index);
        if (histogram === undefined) {
            histogram = { counts: new Float32Array(bucketCount), weight: 0 };
            steps.set(index, histogram);
        }
        if (histogram.weight >= maxWeight) {
            histogram.counts.forEach((count, i) => histogram.counts[i] = count / 2);
            histogram.weight /= 2;
        }
        const bucket = Math.min(bucketCount - 1, Math.floor(findPosition(duration / Math.max(1, estimate))));
        histogram.counts[bucket]! += 1;
        histogram.weight += 1;
    }

    /**
     * Ms until the end of a run that has run for `age` ms; of a task that hasn't started with age 0.
     *
     * @param quantile share of the runs of that age that end within the returned time
     */
    predictRemaining(queue: string, step: number, estimate: number, age: number, quantile = 0.5): number {
        const histogram = this.#queues.get(queue)?.get(Math.min(step, maxStep));
        const scale = Math.max(1, estimate);
        if (histogram === undefined || histogram.weight < minSamples) {
            return age < scale ? scale - age : overdueShare * age;
        }
        const { counts } = histogram;
        const position = findPosition(age / scale);
        const first = Math.floor(position);
        // Part of the bucket of the age that lies above it.
        const partial = first < bucketCount ? counts[first]! * (1 - (position - first)) : 0;
        let above = partial;
        for (let i = first + 1; i < bucketCount; i++) {
            above += counts[i]!;
        }
        if (above < minWeightAbove) {
            return overdueShare * age;
        }
        let left = quantile * above;
        if (left <= partial) {
            const end = position + (1 - (position - first)) * left / partial;
            return Math.max(0, findRatio(end) * scale - age);
        }
        left -= partial;
        for (let i = first + 1; i < bucketCount; i++) {
            if (left <= counts[i]!) {
                return findRatio(i + left / counts[i]!) * scale - age;
            }
            left -= counts[i]!;
        }
        return findRatio(bucketCount) * scale - age;
    }
}

/** Bucket of a ratio, with the fraction by which the ratio lies above its lower bound; the first bucket begins at 0. */
function findPosition(ratio: number): number {
    return ratio < minRatio ? ratio / minRatio : 1 + bucketsPerOctave * Math.log2(ratio / minRatio);
}

/** Inverse of `findPosition`. */
function findRatio(position: number): number {
    return position < 1 ? position * minRatio : minRatio * 2 ** ((position - 1) / bucketsPerOctave);
}
