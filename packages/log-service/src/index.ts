/**
 * Typed clients of the platform's log service, membership list and instance control.
 */
export type { AppendOutcome, AppendRecord } from "./append-queue.js";
export * from "./control.js";
export * from "./counters.js";
export type { EntrySource, LogEntry, StreamHandlers } from "./follower.js";
export * from "./membership.js";
export type { ServiceClientOptions } from "./service-client.js";
export * from "./snapshots.js";
export * from "./stream.js";
