/**
 * Collects the evidence for the guarantee checker from a running deployment.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "./call-record.js";
import * as guaranteeChecker from "./guarantee-checker.js";
import * as operatorClient from "./operator-client.js";

/** Interval in ms between reads of the configuration versions in force. */
const pollIntervalMs = 250;

export class EvidenceCollector {
    readonly #running: testUtils.RunningDeployment;
    readonly #versions = new Map<string, number[]>();
    #timer: NodeJS.Timeout | undefined;

    constructor(running: testUtils.RunningDeployment) {
        this.#running = running;
    }

    /** Starts to poll the configuration version of each entry instance. */
    start(): void {
        this.#timer = setInterval(() => void this.#pollVersions(), pollIntervalMs);
    }

    async #pollVersions(): Promise<void> {
        await Promise.all(this.#running.entries.map(entry => this.#pollVersion(entry)));
    }

    async #pollVersion(entry: testUtils.RunningEntry): Promise<void> {
        const client = new operatorClient.OperatorClient(entry.operatorUrl, this.#running.operatorKey);
        const status = await client.readStatus().catch(() => undefined);
        // A process that is not ready serves no callers, so the version that it has read is not in force yet.
        if (status?.ready !== true) {
            return;
        }
        const versions = this.#versions.get(entry.name) ?? [];
        versions.push(status.configurationVersion);
        this.#versions.set(entry.name, versions);
    }

    /** Stops polling. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Stops polling and reads the executions and the log from the stand-ins. */
    async collect(calls: readonly callRecord.Call[]): Promise<guaranteeChecker.Evidence> {
        this.stop();
        const executionLists = await Promise.all(
            this.#running.backendServers.map(server => testUtils.readExecutions(server)),
        );
        return {
            calls,
            executions: executionLists.flat(),
            fleetEntries: await testUtils.readStream(this.#running.platform, "fleet"),
            versions: this.#versions,
            sources: this.#mapSources(),
            zoneCuts: this.#running.zoneCuts,
        };
    }

    /** Behind the fault proxy all requests come from the proxy's address, so sources can't be told apart. */
    #mapSources(): ReadonlyMap<string, string> {
        const entries = this.#running.proxy === undefined ? testUtils.planEntries(this.#running.deployment) : [];
        return new Map(entries.map(entry => [entry.sourceHost, entry.name]));
    }
}
