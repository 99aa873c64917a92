/**
 * Stand-ins for the platform and the backend servers, a fault-injecting proxy, and a launcher for whole deployments.
 */
export * from "./backend-server/backend-server-stand-in.js";
export * from "./backend-server/execution.js";
export * from "./launcher/control-client.js";
export * from "./launcher/deployment-plan.js";
export * from "./launcher/entry-settings.js";
export * from "./launcher/launch.js";
export * from "./launcher/processes.js";
export * from "./launcher/running-deployment.js";
export * from "./launcher/zone-cut.js";
export * from "./platform/platform-stand-in.js";
export * from "./proxy/fault-proxy.js";
export * from "./proxy/route.js";
export * from "./stand-in.js";
