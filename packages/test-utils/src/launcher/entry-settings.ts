/**
 * Settings files of entry processes.
 */
import type * as schema from "@catkinwharf/schema";
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as standIn from "../stand-in.js";
import type * as deploymentPlan from "./deployment-plan.js";

/** Any subset of the properties of a value, at every level. */
export type DeepPartial<Value> = Value extends readonly unknown[] ? Value
    : Value extends object ? { readonly [Key in keyof Value]?: DeepPartial<Value[Key]>; }
    : Value;

/** Ports and keys in the settings of an entry process. */
export interface EntryEndpoints {
    readonly platformPort: number;
    /** Port on which it listens for peers. */
    readonly peerPort: number;
    /** Port to which peers connect. */
    readonly advertisedPort: number;
    /** Advertised ports of the other entry processes. */
    readonly seedPorts: readonly number[];
    readonly security: schema.settings.Security;
}

/** Settings of one entry process, without default values. */
export function createEntrySettings(
    entry: deploymentPlan.PlannedEntry,
    endpoints: EntryEndpoints,
): DeepPartial<schema.settings.EntrySettings> {
    const platformUrl = `http://${standIn.loopbackHost}:${endpoints.platformPort}`;
    return {
        entry: entry.name,
        availabilityZone: entry.availabilityZone,
        callers: createListener(0),
        operators: createListener(0),
        peers: createListener(endpoints.peerPort),
        advertised: createListener(endpoints.advertisedPort),
        sourceHost: entry.sourceHost,
        seeds: endpoints.seedPorts.map(createListener),
        platform: { log: platformUrl, membership: platformUrl, control: platformUrl },
        security: endpoints.security,
    };
}

/** Writes a settings file and returns its path. */
export function writeSettings(
    folder: string,
    settings: DeepPartial<schema.settings.EntrySettings>,
    overrides: DeepPartial<schema.settings.EntrySettings>,
): string {
    const file = path.join(folder, `${settings.entry}.jsonc`);
    fs.writeFileSync(file, JSON.stringify(mergeDeep(settings, overrides), undefined, 4));
    return file;
}

/** Returns a port that is free now; another process can still take it. */
export async function findFreePort(): Promise<number> {
    const server = net.createServer();
    const port = await standIn.listen(server, 0);
    await new Promise(resolve => server.close(resolve));
    return port;
}

function createListener(port: number): schema.settings.Listener {
    return { host: standIn.loopbackHost, port };
}

function mergeDeep(base: unknown, change: unknown): unknown {
    if (!isPlainObject(base) || !isPlainObject(change)) {
        return change ?? base;
    }
    const keys = [...new Set([...Object.keys(base), ...Object.keys(change)])];
    return Object.fromEntries(keys.map(key => [key, mergeDeep(base[key], change[key])]));
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && !Array.isArray(value) && Boolean(value);
}
