/**
 * A running deployment under load, with everything that the promise checker needs.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "./call-record.js";
import * as caller from "./caller.js";
import * as evidenceCollector from "./evidence-collector.js";
import * as load from "./load.js";
import * as promiseChecker from "./promise-checker.js";
import * as randomSource from "./random-source.js";
import * as setUp from "./set-up.js";

/** Deadline of a call in ms. */
const timeoutMs = 3_000;
/** Time in ms before a caller's retry. */
const retryMs = 100;

export interface SessionOptions {
    readonly launch: testUtils.LaunchOptions;
    readonly seed: number;
    /** Attempts of one call. */
    readonly maxAttempts?: number;
}

/** Launches a deployment, publishes its configuration, runs `use`, and stops everything. */
export async function runSession<Result>(
    options: SessionOptions,
    use: (session: Session) => Promise<Result>,
): Promise<Result> {
    const running = await testUtils.launchDeployment(options.launch);
    const session = new Session(running, options);
    try {
        await setUp.publishDeployment(running);
        session.collector.start();
        return await use(session);
    }
    catch (thrown) {
        for (const entry of running.entries) {
            process.stderr.write(`--- ${entry.name}\n${entry.handle.readOutput().slice(-outputCharacters)}\n`);
        }
        throw thrown;
    }
    finally {
        session.collector.stop();
        await session.caller.close();
        await running.stop();
    }
}

/** Characters of each process's output that a failed session prints. */
const outputCharacters = 4_000;

export class Session {
    readonly running: testUtils.RunningDeployment;
    readonly random: randomSource.RandomSource;
    readonly caller: caller.Caller;
    readonly collector: evidenceCollector.EvidenceCollector;
    readonly seed: number;
    #sequence = 0;

    constructor(running: testUtils.RunningDeployment, options: SessionOptions) {
        this.running = running;
        this.seed = options.seed;
        this.random = new randomSource.RandomSource(options.seed);
        this.caller = new caller.Caller({
            maxAttempts: options.maxAttempts ?? 3,
            retryMs,
            listTargets: () => this.listTargets(),
            random: () => this.random.next(),
        });
        this.collector = new evidenceCollector.EvidenceCollector(running);
    }

    /** Entry instances that the balancer sends callers to; all that run unless replaced. */
    listTargets: () => readonly caller.EntryTarget[] = () => this.running.entries;

    /** Runs load for a time and resolves with its calls. */
    runLoad(durationMs: number, shape: load.LoadShape, scale = 1): Promise<readonly callRecord.Call[]> {
        this.#sequence += 1;
        return load.runLoad({
            deployment: this.running.deployment,
            shape,
            seed: this.seed * 100 + this.#sequence,
            durationMs,
            timeoutMs,
            caller: this.caller,
            scale,
        });
    }

    /** Checks all promises over what happened so far. */
    async check(calls: readonly callRecord.Call[]): Promise<readonly promiseChecker.Violation[]> {
        return promiseChecker.checkPromises(await this.collector.collect(calls));
    }

    /** Definition of a service of the deployment. */
    service(index: number): schema.settings.DeploymentService {
        return this.running.deployment.services[index] as schema.settings.DeploymentService;
    }
}
