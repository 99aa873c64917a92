/**
 * Batches of records within the limits of the store, which refuses a larger append as a whole, however often it is
 * repeated.
 */
import * as platform from "@catkinwharf/platform";

/** Whether the store takes the record at all. */
export function isStorable(
    record: platform.storeCalls.KeyedRecord,
    { recordSize }: platform.settings.StoreLimits,
): boolean {
    return platform.storeCalls.measureContent(record) <= recordSize;
}

/** Records of one append, in the order in which they were added. */
export class RecordBatch {
    readonly records: platform.storeCalls.KeyedRecord[] = [];
    #size = 0;

    constructor(private readonly limits: platform.settings.StoreLimits) {}

    /** Adds the record if the batch can take it. The first one is always taken. */
    add(record: platform.storeCalls.KeyedRecord): boolean {
        const size = platform.storeCalls.measureRecord(record);
        if (this.records.length > 0 && this.#size + size > this.limits.appendSize) {
            return false;
        }
        this.#size += size;
        this.records.push(record);
        return true;
    }
}
