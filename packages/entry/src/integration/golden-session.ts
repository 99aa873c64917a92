/**
 * Records a whole session of a caller and compares it with a golden file.
 */
import * as types from "@catkinwharf/types";
import * as fs from "node:fs";
import * as path from "node:path";
import * as undici from "undici";
import * as assert from "uvu/assert";

/** One question of the session, and through which entry instance it goes. */
interface Question {
    readonly title: string;
    readonly through: "left" | "right";
    readonly method: "GET" | "POST" | "PUT";
    readonly path: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string;
}

/** What was answered, without what differs from run to run. */
interface Exchange {
    readonly title: string;
    readonly request: string;
    readonly status: number;
    readonly outcome: string;
    readonly reason: string;
    readonly contentType: string;
    readonly body: unknown;
}

const key = { "idempotency-key": '"receipt-1"' };

const questions: readonly Question[] = [
    { title: "a read", through: "left", method: "GET", path: "/v1/services/previews/badges/1?size=small" },
    {
        title: "the same through another entry",
        through: "right",
        method: "GET",
        path: "/v1/services/previews/badges/1",
    },
    { title: "an idempotent write", through: "left", method: "PUT", path: "/v1/services/previews/badges/2", body: "b" },
    {
        title: "a keyed write",
        through: "left",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: key,
        body: "a",
    },
    {
        title: "its repeat elsewhere",
        through: "right",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: key,
        body: "a",
    },
    {
        title: "another body, same key",
        through: "right",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: key,
        body: "b",
    },
    { title: "the key's outcome", through: "right", method: "GET", path: "/v1/requests/receipt-1" },
    { title: "an unknown key", through: "left", method: "GET", path: "/v1/requests/receipt-2" },
    { title: "a write without a key", through: "left", method: "POST", path: "/v1/services/invoices/", body: "a" },
    { title: "an unknown service", through: "left", method: "GET", path: "/v1/services/absent/" },
    {
        title: "a malformed time limit",
        through: "left",
        method: "GET",
        path: "/v1/services/previews/",
        headers: { "catkinwharf-timeout-ms": "soon" },
    },
    {
        title: "a malformed key",
        through: "left",
        method: "POST",
        path: "/v1/services/invoices/",
        headers: { "idempotency-key": "a b" },
    },
    {
        title: "an oversized body",
        through: "right",
        method: "PUT",
        path: "/v1/services/previews/",
        body: "x".repeat(1_048_577),
    },
    { title: "no such path", through: "right", method: "GET", path: "/v2/" },
];

/** Asks all questions in order. */
export async function recordSession(leftUrl: string, rightUrl: string): Promise<readonly Exchange[]> {
    const exchanges: Exchange[] = [];
    for (const question of questions) {
        exchanges.push(await ask(question, question.through === "left" ? leftUrl : rightUrl));
    }
    return exchanges;
}

async function ask(question: Question, url: string): Promise<Exchange> {
    const response = await undici.request(`${url}${question.path}`, {
        method: question.method,
        headers: question.headers,
        body: question.body,
    });
    const text = await response.body.text();
    return {
        title: question.title,
        request: `${question.method} ${question.path}`,
        status: response.statusCode,
        outcome: String(response.headers[types.outcomeHeader] ?? ""),
        reason: String(response.headers[types.reasonHeader] ?? ""),
        contentType: String(response.headers["content-type"] ?? ""),
        body: normalize(text),
    };
}

/** Instances and request ids differ from run to run. */
function normalize(text: string): unknown {
    const document = JSON.parse(text) as Record<string, unknown>;
    for (const field of ["instance", "requestId"]) {
        if (typeof document[field] === "string") {
            document[field] = `<${field}>`;
        }
    }
    return document;
}

const goldenFolder = path.resolve(import.meta.dirname, "../../src/integration/golden");

/** Compares with the golden file; writes it only when UPDATE_GOLDEN is set. */
export function compareSession(name: string, exchanges: readonly Exchange[]): void {
    const file = path.join(goldenFolder, `${name}.json`);
    const text = `${JSON.stringify(exchanges, undefined, 4)}\n`;
    if (process.env["UPDATE_GOLDEN"] !== undefined) {
        fs.writeFileSync(file, text);
    }
    assert.fixture(text, fs.readFileSync(file, "utf8"));
}
