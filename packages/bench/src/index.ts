/**
 * Load generator, operator client and checks of the service guarantees on a running deployment, shared by the
 * demonstration, the soak run, the benchmarks and the integration tests.
 */
export * from "./call-batch.js";
export * from "./call-record.js";
export * from "./caller.js";
export * from "./evidence-collector.js";
export * from "./fleet-reader.js";
export * from "./guarantee-checker.js";
export * from "./home-checker.js";
export * from "./keyed-call.js";
export * from "./load.js";
export * from "./metrics-reader.js";
export * from "./operator-client.js";
export * from "./random-source.js";
export * from "./report.js";
export * from "./session.js";
export * from "./set-up.js";
