/**
 * Sends a fixed sequence of requests and compares the responses with a golden file.
 */
import * as types from "@catkinwharf/types";
import * as fs from "node:fs";
import * as path from "node:path";
import * as undici from "undici";
import * as assert from "uvu/assert";

/** A request of the session, and the entry instance that it is sent to. */
interface SessionRequest {
    readonly title: string;
    readonly entry: "A" | "B";
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** A request and its response, without the values that differ from run to run. */
interface Exchange {
    readonly title: string;
    readonly request: string;
    readonly status: number;
    readonly outcome: string;
    readonly reason: string;
    readonly contentType: string;
    readonly body: unknown;
}

const keyHeaders = { "idempotency-key": '"receipt-1"' };

const sessionRequests: readonly SessionRequest[] = [
    { title: "a read", entry: "A", method: "GET", path: "/v1/services/previews/badges/1?size=small" },
    {
        title: "the same through another entry",
        entry: "B",
        method: "GET",
        path: "/v1/services/previews/badges/1",
    },
    { title: "an idempotent write", entry: "A", method: "PUT", path: "/v1/services/previews/badges/2", body: "b" },
    {
        title: "a keyed write",
        entry: "A",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: keyHeaders,
        body: "a",
    },
    {
        title: "its repeat elsewhere",
        entry: "B",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: keyHeaders,
        body: "a",
    },
    {
        title: "another body, same key",
        entry: "B",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: keyHeaders,
        body: "b",
    },
    { title: "the key's outcome", entry: "B", method: "GET", path: "/v1/requests/receipt-1" },
    { title: "an unknown key", entry: "A", method: "GET", path: "/v1/requests/receipt-2" },
    { title: "a write without a key", entry: "A", method: "POST", path: "/v1/services/invoices/", body: "a" },
    { title: "an unknown service", entry: "A", method: "GET", path: "/v1/services/absent/" },
    {
        title: "a malformed time limit",
        entry: "A",
        method: "GET",
        path: "/v1/services/previews/",
        headers: { "catkinwharf-timeout-ms": "soon" },
    },
    {
        title: "a malformed key",
        entry: "A",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: { "idempotency-key": "a b" },
    },
    {
        title: "an oversized body",
        entry: "B",
        method: "PUT",
        path: "/v1/services/previews/",
        body: "x".repeat(1_048_577),
    },
    { title: "no such path", entry: "B", method: "GET", path: "/v2/" },
];

/** Sends all requests in order. */
export async function recordSession(urlA: string, urlB: string): Promise<readonly Exchange[]> {
    const exchanges: Exchange[] = [];
    for (const request of sessionRequests) {
        exchanges.push(await send(request, request.entry === "A" ? urlA : urlB));
    }
    return exchanges;
}

async function send(request: SessionRequest, url: string): Promise<Exchange> {
    const response = await undici.request(`${url}${request.path}`, {
        method: request.method,
        headers: request.headers,
        body: request.body,
    });
    const text = await response.body.text();
    return {
        title: request.title,
        request: `${request.method} ${request.path}`,
        status: response.statusCode,
        outcome: String(response.headers[types.outcomeHeader] ?? ""),
        reason: String(response.headers[types.reasonHeader] ?? ""),
        contentType: String(response.headers["content-type"] ?? ""),
        body: normalize(text),
    };
}

/** Replaces the instance and the request ID, which differ from run to run, by placeholders. */
function normalize(text: string): unknown {
    const response = JSON.parse(text) as Record<string, unknown>;
    for (const field of ["instance", "requestId"]) {
        if (typeof response[field] === "string") {
            response[field] = `<${field}>`;
        }
    }
    return response;
}

const goldenFolder = path.resolve(import.meta.dirname, "../../src/integration/golden");

/** Compares with the golden file, after overwriting it if UPDATE_GOLDEN is set. */
export function compareSession(name: string, exchanges: readonly Exchange[]): void {
    const file = path.join(goldenFolder, `${name}.json`);
    const text = `${JSON.stringify(exchanges, undefined, 4)}\n`;
    if (process.env["UPDATE_GOLDEN"] !== undefined) {
        fs.writeFileSync(file, text);
    }
    assert.fixture(text, fs.readFileSync(file, "utf8"));
}
