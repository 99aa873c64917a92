/**
 * The operators' command line as a library, for tests and for tools that embed it.
 */
export * from "./command-line.js";
export * from "./exit-code.js";
export type { CommandContext } from "./reporting-command.js";
