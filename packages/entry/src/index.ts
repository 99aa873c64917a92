/**
 * The entry process as a library, for the binary and its tests.
 */
export * from "./entry-process.js";
export * from "./process-context.js";
