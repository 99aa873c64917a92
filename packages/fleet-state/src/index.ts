/**
 * Folds the streams of the log: `fleet` into the fleet state, `claims` into a table of claimed keys.
 */
export * from "./apply.js";
export * from "./claims.js";
export { findConfigurationFault, hasPool } from "./configuration-records.js";
export * from "./model.js";
export * from "./rendezvous.js";
export {
    compareNames,
    hasRecord,
    holdsLease,
    instancesOfPool,
    instancesOfZone,
    listHomedInstances,
    openSessionsOfZone,
} from "./selectors.js";
export { finishedStopCount, isFinished } from "./stop-progress.js";
export * from "./storage.js";
export * from "./verdict.js";
