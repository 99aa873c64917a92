/**
 * Headers of log records.
 */
import * as crypto from "node:crypto";

/** Fields that every record has. */
export interface RecordHeader {
    readonly id: string;
    readonly author: string;
}

/** Creates the header of a record that `author` (a session id) appends. */
export function createHeader(author: string): RecordHeader {
    return { id: crypto.randomUUID(), author };
}
