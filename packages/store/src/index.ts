/**
 * Client of the log store.
 */
export * from "./store-client.js";
export * from "./topic-follower.js";
