/**
 * Derives state from the streams of the log: the fleet state from `fleet`, the table of claimed keys from `claims`.
 */
export * from "./apply.js";
export * from "./claims.js";
export { hasPool, validateConfiguration } from "./configuration-records.js";
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
export { isFinished, maxFinishedStops } from "./stop-progress.js";
export * from "./storage.js";
export * from "./verdict.js";
