/**
 * Paths below the URLs of the platform's services.
 */

/** Path of appends to a stream. */
export function formatAppendPath(stream: string): string {
    return `/log/${encodeURIComponent(stream)}/append`;
}

/** What a read asks for. */
export interface ReadRange {
    readonly stream: string;
    /** First offset. */
    readonly from: number;
    /** Time that the platform may wait for new entries, in ms. */
    readonly waitMs: number;
    /** Most entries of one answer. */
    readonly limit: number;
}

/** Path and query of a read. */
export function formatReadPath(range: ReadRange): string {
    const query = `from=${range.from}&waitMs=${range.waitMs}&limit=${range.limit}`;
    return `/log/${encodeURIComponent(range.stream)}?${query}`;
}

/** Path of the membership list. */
export const membershipPath = "/membership";

/** Path of the usage reports. */
export const usagePath = "/usage";

/** Path that starts reboots of an instance. */
export function formatStartRebootPath(instance: string): string {
    return `/instances/${encodeURIComponent(instance)}/reboot`;
}

/** Path of one reboot. */
export function formatRebootPath(instance: string, id: string): string {
    return `${formatStartRebootPath(instance)}/${encodeURIComponent(id)}`;
}
