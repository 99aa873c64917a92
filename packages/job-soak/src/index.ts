/**
 * Soak of the job system: real entry processes under random faults, judged by what servers and machines saw.
 */
export * from "./judgement.js";
export * from "./soak.js";
