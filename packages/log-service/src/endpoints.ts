/**
 * Request paths, relative to the URLs of the platform's services.
 */

/** Path to append to a stream. */
export function formatAppendPath(stream: string): string {
    return `/log/${encodeURIComponent(stream)}/append`;
}

/** Parameters of a read. */
export interface ReadRange {
    readonly stream: string;
    /** First offset. */
    readonly from: number;
    /** Time for which the platform waits for new entries before it responds without any, in ms. */
    readonly waitMs: number;
    /** Maximum number of entries in the response. */
    readonly limit: number;
}

/** Path and query to read from a stream. */
export function formatReadPath(range: ReadRange): string {
    const query = `from=${range.from}&waitMs=${range.waitMs}&limit=${range.limit}`;
    return `/log/${encodeURIComponent(range.stream)}?${query}`;
}

/** Path of the membership list. */
export const membershipPath = "/membership";

/** Path of the usage reports. */
export const usagePath = "/usage";

/** Path to start a reboot of an instance. */
export function formatStartRebootPath(instance: string): string {
    return `/instances/${encodeURIComponent(instance)}/reboot`;
}

/** Path to read the state of a reboot. */
export function formatRebootPath(instance: string, id: string): string {
    return `${formatStartRebootPath(instance)}/${encodeURIComponent(id)}`;
}
