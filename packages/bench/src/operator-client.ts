/**
 * Client of the operator API of one entry instance.
 */
import * as schema from "@catkinwharf/schema";
import * as undici from "undici";

export class OperatorClient {
    readonly #url: string;
    readonly #key: string;

    constructor(operatorUrl: string, operatorKey: string) {
        this.#url = operatorUrl;
        this.#key = operatorKey;
    }

    async #sendRequest(method: "GET" | "POST" | "DELETE", path: string, body?: unknown): Promise<unknown> {
        const response = await undici.request(`${this.#url}${path}`, {
            method,
            headers: { "authorization": `Bearer ${this.#key}`, "content-type": "application/json" },
            body: body === undefined ? undefined : JSON.stringify(body),
            signal: AbortSignal.timeout(15_000),
        });
        return response.body.json();
    }

    async readStatus(): Promise<schema.operator.StatusAnswer> {
        return await this.#sendRequest("GET", "/operator/status") as schema.operator.StatusAnswer;
    }

    async publishProfile(profile: schema.log.Profile, expectedVersion: number): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.ProfileChange = { profile, expectedVersion };
        return await this.#sendRequest("POST", "/operator/profiles", change) as schema.operator.ChangeAnswer;
    }

    async publishConfiguration(
        configuration: schema.log.Configuration,
        expectedVersion: number,
    ): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.ConfigurationChange = { configuration, expectedVersion };
        return await this.#sendRequest("POST", "/operator/configurations", change) as schema.operator.ChangeAnswer;
    }

    async announceStop(stop: schema.log.Stop): Promise<schema.operator.ChangeAnswer> {
        const change: schema.operator.StopChange = { stop };
        return await this.#sendRequest("POST", "/operator/stops", change) as schema.operator.ChangeAnswer;
    }
}

/** Interval in ms between reads of the status. */
const pollIntervalMs = 100;

/** Waits until the status of an entry instance satisfies a condition; rejects after `timeoutMs`. */
export async function waitForStatus(
    client: OperatorClient,
    isReached: (status: schema.operator.StatusAnswer) => boolean,
    timeoutMs: number,
): Promise<schema.operator.StatusAnswer> {
    const timeoutAt = performance.now() + timeoutMs;
    for (;;) {
        const status = await client.readStatus().catch(() => undefined);
        if (status !== undefined && isReached(status)) {
            return status;
        }
        if (performance.now() > timeoutAt) {
            throw new Error(`timed out waiting for the status; last: ${JSON.stringify(status)}`);
        }
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}
