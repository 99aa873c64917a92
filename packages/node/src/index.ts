/**
 * The entry process of the job system on the platform.
 */
export * from "./entry-instance.js";
