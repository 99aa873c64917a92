/**
 * Heads of log records.
 */
import * as crypto from "node:crypto";

/** The fields that every record has. */
export interface RecordHeader {
    readonly id: string;
    readonly author: string;
}

/** Creates the head of a record that `author` (a session) appends. */
export function createHeader(author: string): RecordHeader {
    return { id: crypto.randomUUID(), author };
}
