/**
 * Runs a deployment under load and collects the evidence for the guarantee checker.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as callRecord from "./call-record.js";
import * as caller from "./caller.js";
import * as evidenceCollector from "./evidence-collector.js";
import * as guaranteeChecker from "./guarantee-checker.js";
import * as load from "./load.js";
import * as randomSource from "./random-source.js";
import * as setUp from "./set-up.js";

/** Timeout of a call in ms. */
const timeoutMs = 3_000;
/** Delay in ms before a caller retries. */
const retryDelayMs = 100;

export interface SessionOptions {
    readonly launch: testUtils.LaunchOptions;
    readonly seed: number;
    /** Maximum number of attempts of a call. */
    readonly maxAttempts?: number;
}

/** Launches a deployment, publishes its configuration, calls `run`, and stops all processes. */
export async function runSession<Result>(
    options: SessionOptions,
    run: (session: Session) => Promise<Result>,
): Promise<Result> {
    const running = await testUtils.launchDeployment(options.launch);
    const session = new Session(running, options);
    try {
        await setUp.publishDeployment(running);
        session.collector.start();
        return await run(session);
    }
    catch (thrown) {
        for (const entry of running.entries) {
            process.stderr.write(`--- ${entry.name}\n${entry.handle.readOutput().slice(-outputTailLength)}\n`);
        }
        throw thrown;
    }
    finally {
        session.collector.stop();
        await session.caller.close();
        await running.stop();
    }
}

/** Number of characters at the end of each entry process's output that a failed session prints. */
const outputTailLength = 4_000;

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
            retryDelayMs: retryDelayMs,
            listTargets: () => this.listTargets(),
            random: () => this.random.next(),
        });
        this.collector = new evidenceCollector.EvidenceCollector(running);
    }

    /** Lists the entry instances that callers choose from; by default, all of the deployment. */
    listTargets: () => readonly caller.EntryTarget[] = () => this.running.entries;

    /** Runs load for `durationMs` and resolves with its calls. */
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

    /** Checks all guarantees against the evidence collected so far. */
    async check(calls: readonly callRecord.Call[]): Promise<readonly guaranteeChecker.Violation[]> {
        return guaranteeChecker.checkGuarantees(await this.collector.collect(calls));
    }

    /** Returns the definition of the deployment's service at an index. */
    service(index: number): schema.settings.DeploymentService {
        return this.running.deployment.services[index] as schema.settings.DeploymentService;
    }
}
