/**
 * Collects what the promise checker needs from a running deployment.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "./call-record.js";
import * as operator from "./operator.js";
import * as promiseChecker from "./promise-checker.js";

/** Time in ms between looks at the versions in force. */
const lookMs = 250;

export class EvidenceCollector {
    readonly #running: testUtils.RunningDeployment;
    readonly #versions = new Map<string, number[]>();
    #timer: NodeJS.Timeout | undefined;

    constructor(running: testUtils.RunningDeployment) {
        this.#running = running;
    }

    /** Begins to note the configuration version that each entry instance shows. */
    start(): void {
        this.#timer = setInterval(() => void this.#look(), lookMs);
    }

    async #look(): Promise<void> {
        await Promise.all(this.#running.entries.map(entry => this.#lookAt(entry)));
    }

    async #lookAt(entry: testUtils.RunningEntry): Promise<void> {
        const one = new operator.Operator(entry.operatorUrl, this.#running.operatorKey);
        const status = await one.readStatus().catch(() => undefined);
        // A process that is not ready serves nobody, so what it has read so far is not in force.
        if (status?.ready !== true) {
            return;
        }
        const versions = this.#versions.get(entry.name) ?? [];
        versions.push(status.configurationVersion);
        this.#versions.set(entry.name, versions);
    }

    /** Stops looking. */
    stop(): void {
        clearInterval(this.#timer);
    }

    /** Stops looking, and reads the lists of the stand-ins. */
    async collect(calls: readonly callRecord.Call[]): Promise<promiseChecker.Evidence> {
        this.stop();
        const lists = await Promise.all(this.#running.backendServers.map(server => testUtils.readExecutions(server)));
        return {
            calls,
            executions: lists.flat(),
            fleetEntries: await testUtils.readStream(this.#running.platform, "fleet"),
            versions: this.#versions,
            sources: this.#listSources(),
            zoneCuts: this.#running.zoneCuts,
        };
    }

    #listSources(): ReadonlyMap<string, string> {
        const entries = this.#running.proxy === undefined ? testUtils.planEntries(this.#running.deployment) : [];
        return new Map(entries.map(entry => [entry.sourceHost, entry.name]));
    }
}
