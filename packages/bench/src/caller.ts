/**
 * Sends calls as a service's callers do: through any entry instance, with retries under the same key.
 */
import * as types from "@catkinwharf/types";
import * as undici from "undici";
import * as callRecord from "./call-record.js";

/** An entry instance that a balancer would choose from. */
export interface EntryTarget {
    readonly name: string;
    readonly callerUrl: string;
}

/** A call to make. */
export interface PlannedCall {
    readonly id: string;
    readonly service: string;
    readonly method: string;
    readonly key: string | undefined;
    readonly urgency: number;
    readonly timeoutMs: number;
    /** Fields for the stand-ins. */
    readonly fields: Readonly<Record<string, string>>;
    readonly dueAt: number;
    /** Run time in ms that the stand-in is asked for. */
    readonly runMs?: number;
}

export interface CallerOptions {
    /** Attempts of one call. */
    readonly maxAttempts: number;
    /** Time in ms before a retry. */
    readonly retryMs: number;
    /** Entry instances to choose from now. */
    listTargets(): readonly EntryTarget[];
    random(): number;
}

/** Time in ms beyond the call's deadline after which a response counts as lost. */
const responseGraceMs = 3_000;

export class Caller {
    readonly #options: CallerOptions;
    readonly #agent = new undici.Agent({ connections: 256, pipelining: 1, keepAliveTimeout: 2_000 });

    constructor(options: CallerOptions) {
        this.#options = options;
    }

    /** Makes a call, trying again while that can help. */
    async call(planned: PlannedCall): Promise<callRecord.Call> {
        const attempts: callRecord.Attempt[] = [];
        while (attempts.length < this.#options.maxAttempts && mayHelp(planned, attempts[attempts.length - 1])) {
            if (attempts.length > 0) {
                await new Promise(resolve => setTimeout(resolve, this.#options.retryMs));
            }
            attempts.push(await this.#attempt(planned));
        }
        return {
            id: planned.id,
            service: planned.service,
            method: planned.method,
            path: `/calls/${planned.id}`,
            key: planned.key,
            urgency: planned.urgency,
            dueAt: planned.dueAt,
            ...(planned.runMs === undefined ? {} : { runMs: planned.runMs }),
            attempts,
        };
    }

    async #attempt(planned: PlannedCall): Promise<callRecord.Attempt> {
        const targets = this.#options.listTargets();
        const target = targets[Math.floor(this.#options.random() * targets.length)];
        const startedAt = Date.now();
        if (target === undefined) {
            return createLost("", startedAt, "no-entry");
        }
        try {
            return await this.#send(planned, target, startedAt);
        }
        catch {
            return createLost(target.name, startedAt, "connection");
        }
    }

    async #send(planned: PlannedCall, target: EntryTarget, startedAt: number): Promise<callRecord.Attempt> {
        const limitMs = planned.timeoutMs + responseGraceMs;
        const response = await undici.request(
            `${target.callerUrl}/v1/services/${planned.service}/calls/${planned.id}`,
            {
                dispatcher: this.#agent,
                method: planned.method as undici.Dispatcher.HttpMethod,
                headers: createFields(planned),
                body: planned.method === "GET" ? undefined : JSON.stringify({ call: planned.id }),
                signal: AbortSignal.timeout(limitMs),
            },
        );
        const text = await response.body.text();
        const outcome = String(response.headers[types.outcomeHeader] ?? "lost") as callRecord.Attempt["outcome"];
        return {
            entry: target.name,
            startedAt,
            endedAt: Date.now(),
            outcome,
            reason: String(response.headers[types.reasonHeader] ?? ""),
            status: response.statusCode,
            matched: outcome !== types.Outcome.answered || text.includes(`/calls/${planned.id}"`),
        };
    }

    close(): Promise<void> {
        return this.#agent.destroy();
    }
}

function createFields(planned: PlannedCall): Record<string, string> {
    return {
        "content-type": "application/json",
        "priority": `u=${planned.urgency}`,
        [types.timeoutHeader]: String(planned.timeoutMs),
        ...planned.fields,
        ...(planned.key === undefined ? {} : { [types.idempotencyKeyHeader]: `"${planned.key}"` }),
    };
}

/** A response that was answered, or refused for good, ends a call. */
function mayHelp(planned: PlannedCall, last: callRecord.Attempt | undefined): boolean {
    if (last === undefined) {
        return true;
    }
    if (last.outcome === types.Outcome.answered || last.status === 400 || last.status === 404 || last.status === 410) {
        return false;
    }
    return true;
}

function createLost(entry: string, startedAt: number, reason: string): callRecord.Attempt {
    return { entry, startedAt, endedAt: Date.now(), outcome: "lost", reason, status: 0, matched: true };
}
