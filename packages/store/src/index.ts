/**
 * Client of the platform's log store.
 */
export * from "./read-meter.js";
export * from "./record-batch.js";
export * from "./store-client.js";
export * from "./store-relay.js";
export * from "./store-routes.js";
export * from "./topic-follower.js";
