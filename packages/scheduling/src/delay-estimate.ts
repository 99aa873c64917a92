/**
 * Estimates how much longer a task takes from its placement until its end is known than its work does: storing the
 * intent, sending the start, noticing the end. In a burst this may come to as much as the work of a quick task.
 */

/** Weight of the latest task in the moving average. */
const sampleWeight = 0.02;

export class DelayEstimate {
    /** Ms. */
    current = 0;

    /** @param excess ms by which a task took longer than its caller estimated; negative if it was faster */
    record(excess: number): void {
        this.current = Math.max(0, this.current + sampleWeight * (excess - this.current));
    }
}
