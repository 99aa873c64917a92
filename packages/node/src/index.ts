/**
 * The entry process of the job system on the users' platform.
 */
export * from "./process.js";
