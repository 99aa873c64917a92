/**
 * Load, operators and checks of promises over a running deployment; shared by demonstration, soak, benchmarks and
 * integration tests.
 */
export * from "./call-batch.js";
export * from "./call-record.js";
export * from "./caller.js";
export * from "./evidence-collector.js";
export * from "./fleet-reader.js";
export * from "./home-checker.js";
export * from "./keyed-call.js";
export * from "./load.js";
export * from "./metrics-reader.js";
export * from "./operator.js";
export * from "./promise-checker.js";
export * from "./random-source.js";
export * from "./report.js";
export * from "./session.js";
export * from "./set-up.js";
