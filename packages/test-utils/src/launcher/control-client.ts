/**
 * Typed calls to the stand-ins' control ports.
 */
import type * as schema from "@catkinwharf/schema";
import * as undici from "undici";
import type * as backendServerStandIn from "../backend-server/backend-server-stand-in.js";
import type * as execution from "../backend-server/execution.js";
import type * as platformStandIn from "../platform/platform-stand-in.js";
import type * as faultProxy from "../proxy/fault-proxy.js";
import type * as route from "../proxy/route.js";
import * as standIn from "../stand-in.js";

/** Faults of any stand-in or of the fault proxy. */
export type Faults =
    | backendServerStandIn.BackendServerFaults
    | platformStandIn.PlatformFaults
    | faultProxy.RouteFaultChange;

/** A process with a control port: a stand-in or the fault proxy. */
export interface ControlEndpoint {
    readonly controlPort: number;
}

/** Timeout in ms of a call to a control port. */
const callTimeoutMs = 30_000;

/** Sends a request to a loopback port and returns the JSON response. Rejects if the status is 400 or higher. */
export async function callControl(
    port: number,
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: unknown,
): Promise<unknown> {
    const answer = await undici.request(`http://${standIn.loopbackHost}:${port}${path}`, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(callTimeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 400) {
        throw new Error(`${method} ${path}: status ${answer.statusCode}: ${text}`);
    }
    return JSON.parse(text) as unknown;
}

/** Merges faults into the active ones. */
export async function setFaults(controlPort: number, faults: Faults): Promise<void> {
    await callControl(controlPort, "POST", "/faults", faults);
}

/** Requests that a backend server stand-in has started, from an index on. */
export async function readExecutions(backendServer: ControlEndpoint, from = 0): Promise<execution.Execution[]> {
    const answer = await callControl(backendServer.controlPort, "GET", `/executions?from=${from}`);
    return (answer as { executions: execution.Execution[]; }).executions;
}

/** Every entry ever appended to a stream, including those that are no longer retained. */
export async function readStream(platform: ControlEndpoint, name: string): Promise<schema.platform.LogEntry[]> {
    const answer = await callControl(platform.controlPort, "GET", `/streams/${encodeURIComponent(name)}`);
    return (answer as { entries: schema.platform.LogEntry[]; }).entries;
}

/** Appends without the rate limit and the injected faults. */
export async function appendDirectly(
    platform: ControlEndpoint,
    name: string,
    entries: readonly unknown[],
): Promise<schema.platform.AppendAnswer> {
    const path = `/append-direct/${encodeURIComponent(name)}`;
    return await callControl(platform.controlPort, "POST", path, { entries }) as schema.platform.AppendAnswer;
}

/** Counters of the platform stand-in by name. */
export async function readPlatformCounters(platform: ControlEndpoint): Promise<Readonly<Record<string, number>>> {
    return await callControl(platform.controlPort, "GET", "/counters") as Record<string, number>;
}

/** Adds a route to the proxy, or redirects the route of this name to a new target, and returns its port. */
export async function putRoute(proxy: ControlEndpoint, options: route.RouteOptions): Promise<number> {
    const answer = await callControl(proxy.controlPort, "POST", "/routes", options);
    return (answer as { port: number; }).port;
}
