/**
 * The process of an entry instance on the users' platform.
 */
export * from "./process.js";
