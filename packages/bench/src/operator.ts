/**
 * An operator's calls to one entry instance.
 */
import * as schema from "@catkinwharf/schema";
import * as undici from "undici";

export class Operator {
    readonly #url: string;
    readonly #key: string;

    constructor(operatorUrl: string, operatorKey: string) {
        this.#url = operatorUrl;
        this.#key = operatorKey;
    }

    async #ask(method: "GET" | "POST" | "DELETE", path: string, document?: unknown): Promise<unknown> {
        const response = await undici.request(`${this.#url}${path}`, {
            method,
            headers: { "authorization": `Bearer ${this.#key}`, "content-type": "application/json" },
            body: document === undefined ? undefined : JSON.stringify(document),
            signal: AbortSignal.timeout(15_000),
        });
        return response.body.json();
    }

    async readStatus(): Promise<schema.operator.StatusAnswer> {
        return await this.#ask("GET", "/operator/status") as schema.operator.StatusAnswer;
    }

    async publishProfile(profile: schema.log.Profile, expectedVersion: number): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.ProfileChange = { profile, expectedVersion };
        return await this.#ask("POST", "/operator/profiles", change) as schema.operator.ChangeAnswer;
    }

    async publishConfiguration(
        configuration: schema.log.Configuration,
        expectedVersion: number,
    ): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.ConfigurationChange = { configuration, expectedVersion };
        return await this.#ask("POST", "/operator/configurations", change) as schema.operator.ChangeAnswer;
    }

    async announceStop(stop: schema.log.Stop): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.StopChange = { stop };
        return await this.#ask("POST", "/operator/stops", change) as schema.operator.ChangeAnswer;
    }
}

/** Time in ms between looks at a status. */
const lookMs = 100;

/** Waits until an entry instance's status satisfies a condition; rejects after `limitMs`. */
export async function waitForStatus(
    operator: Operator,
    isReached: (status: schema.operator.StatusAnswer) => boolean,
    limitMs: number,
): Promise<schema.operator.StatusAnswer> {
    const end = performance.now() + limitMs;
    for (;;) {
        const status = await operator.readStatus().catch(() => undefined);
        if (status !== undefined && isReached(status)) {
            return status;
        }
        if (performance.now() > end) {
            throw new Error(`status not reached: ${JSON.stringify(status)}`);
        }
        await new Promise(resolve => setTimeout(resolve, lookMs));
    }
}
