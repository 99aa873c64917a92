/**
 * Sends calls like the callers of a service: through any entry instance, with retries under the same idempotency key.
 */
import * as types from "@catkinwharf/types";
import * as undici from "undici";
import * as callRecord from "./call-record.js";

/** An entry instance that a load balancer can choose. */
export interface EntryTarget {
    readonly name: string;
    readonly callerUrl: string;
}

/** A call to send. */
export interface PlannedCall {
    readonly id: string;
    readonly service: string;
    readonly method: string;
    readonly key: string | undefined;
    readonly urgency: number;
    readonly timeoutMs: number;
    /** Additional header fields, such as those that control the stand-ins. */
    readonly fields: Readonly<Record<string, string>>;
    /** Scheduled start in ms since the Unix epoch. */
    readonly dueAt: number;
    /** Run time in ms that is requested from the stand-in, for the call's record. */
    readonly runMs?: number;
}

export interface CallerOptions {
    /** Maximum number of attempts of a call. */
    readonly maxAttempts: number;
    /** Delay in ms before a retry. */
    readonly retryDelayMs: number;
    /** Lists the entry instances that an attempt can choose from at this time. */
    listTargets(): readonly EntryTarget[];
    random(): number;
}

/** Time in ms after the call's timeout at which a missing response counts as lost. */
const responseGraceMs = 3_000;

export class Caller {
    readonly #options: CallerOptions;
    readonly #agent = new undici.Agent({ connections: 256, pipelining: 1, keepAliveTimeout: 2_000 });

    constructor(options: CallerOptions) {
        this.#options = options;
    }

    /** Sends a call and retries it until its outcome is final or its attempts are exhausted. */
    async call(planned: PlannedCall): Promise<callRecord.Call> {
        const attempts: callRecord.Attempt[] = [];
        while (attempts.length < this.#options.maxAttempts && shouldRetry(planned, attempts[attempts.length - 1])) {
            if (attempts.length > 0) {
                await new Promise(resolve => setTimeout(resolve, this.#options.retryDelayMs));
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
            return createLostAttempt("", startedAt, "no-entry");
        }
        try {
            return await this.#send(planned, target, startedAt);
        }
        catch {
            return createLostAttempt(target.name, startedAt, "connection");
        }
    }

    async #send(planned: PlannedCall, target: EntryTarget, startedAt: number): Promise<callRecord.Attempt> {
        const responseTimeoutMs = planned.timeoutMs + responseGraceMs;
        const response = await undici.request(
            `${target.callerUrl}/v1/services/${planned.service}/calls/${planned.id}`,
            {
                dispatcher: this.#agent,
                method: planned.method as undici.Dispatcher.HttpMethod,
                headers: createHeaders(planned),
                body: planned.method === "GET" ? undefined : JSON.stringify({ call: planned.id }),
                signal: AbortSignal.timeout(responseTimeoutMs),
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

function createHeaders(planned: PlannedCall): Record<string, string> {
    return {
        "content-type": "application/json",
        "priority": `u=${planned.urgency}`,
        [types.timeoutHeader]: String(planned.timeoutMs),
        ...planned.fields,
        ...(planned.key === undefined ? {} : { [types.idempotencyKeyHeader]: `"${planned.key}"` }),
    };
}

/** An answer or a permanent refusal ends a call. */
function shouldRetry(planned: PlannedCall, last: callRecord.Attempt | undefined): boolean {
    if (last === undefined) {
        return true;
    }
    if (last.outcome === types.Outcome.answered || last.status === 400 || last.status === 404 || last.status === 410) {
        return false;
    }
    return true;
}

function createLostAttempt(entry: string, startedAt: number, reason: string): callRecord.Attempt {
    return { entry, startedAt, endedAt: Date.now(), outcome: "lost", reason, status: 0, matched: true };
}
