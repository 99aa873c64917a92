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

/** Faults of any stand-in. */
export type Faults =
    | backendServerStandIn.BackendServerFaults
    | platformStandIn.PlatformFaults
    | faultProxy.RouteFaultChange;

/** A stand-in with a control port. */
export interface Controlled {
    readonly controlPort: number;
}

/** Time in ms after which a stand-in's control port counts as hanging. */
const callLimitMs = 30_000;

/** Sends a request to loopback and returns its JSON answer. Rejects on a status from 400 on. */
export async function callControl(
    port: number,
    method: "GET" | "POST" | "PUT",
    path: string,
    body?: unknown,
): Promise<unknown> {
    const answer = await undici.request(`http://${standIn.loopbackHost}:${port}${path}`, {
        method,
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(callLimitMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 400) {
        throw new Error(`${method} ${path}: status ${answer.statusCode}: ${text}`);
    }
    return JSON.parse(text) as unknown;
}

/** Merges faults into those that hold. */
export async function setFaults(controlPort: number, faults: Faults): Promise<void> {
    await callControl(controlPort, "POST", "/faults", faults);
}

/** Requests that a backend server stand-in has started, from an index on. */
export async function readExecutions(backendServer: Controlled, from = 0): Promise<execution.Execution[]> {
    const answer = await callControl(backendServer.controlPort, "GET", `/executions?from=${from}`);
    return (answer as { executions: execution.Execution[]; }).executions;
}

/** Every entry ever appended to a stream, also those that are no longer readable. */
export async function readStream(platform: Controlled, name: string): Promise<schema.platform.LogEntry[]> {
    const answer = await callControl(platform.controlPort, "GET", `/streams/${encodeURIComponent(name)}`);
    return (answer as { entries: schema.platform.LogEntry[]; }).entries;
}

/** Appends past the rate limit and the faults. */
export async function appendDirectly(
    platform: Controlled,
    name: string,
    entries: readonly unknown[],
): Promise<schema.platform.AppendAnswer> {
    const path = `/append-direct/${encodeURIComponent(name)}`;
    return await callControl(platform.controlPort, "POST", path, { entries }) as schema.platform.AppendAnswer;
}

/** Counters of the platform stand-in by name. */
export async function readPlatformCounters(platform: Controlled): Promise<Readonly<Record<string, number>>> {
    return await callControl(platform.controlPort, "GET", "/counters") as Record<string, number>;
}

/** Adds a route to the proxy, or redirects the one of this name, and returns its port. */
export async function putRoute(proxy: Controlled, options: route.RouteOptions): Promise<number> {
    const answer = await callControl(proxy.controlPort, "POST", "/routes", options);
    return (answer as { port: number; }).port;
}
