/**
 * Injects random faults under load, ends each after its duration, and checks the guarantees once the deployment has
 * recovered.
 */
import * as callRecord from "./call-record.js";
import * as guaranteeChecker from "./guarantee-checker.js";
import * as load from "./load.js";
import * as randomSource from "./random-source.js";
import * as benchSession from "./session.js";
import * as setUp from "./set-up.js";
import * as soakFaults from "./soak-faults.js";

export interface SoakOptions {
    readonly durationMs: number;
    /** Factor by which the load's rate is multiplied. */
    readonly scale: number;
    /** Names of the faults to draw from; all if undefined. */
    readonly names: readonly string[] | undefined;
    onFault(line: string): void;
}

export interface SoakSummary {
    readonly calls: number;
    readonly faults: number;
    readonly finals: readonly callRecord.CallCount[];
    readonly violations: readonly guaranteeChecker.Violation[];
}

/** Mean interval in ms between attempts to inject a fault. */
const meanIntervalMs = 1_500;
/** Maximum number of concurrent faults. */
const maxActiveFaults = 3;
/** Added to the seed for faults, so that faults and calls draw from different sequences. */
const faultSeedOffset = 7_919;

export async function runSoak(session: benchSession.Session, options: SoakOptions): Promise<SoakSummary> {
    const injector = new FaultInjector(session, options);
    session.listTargets = () => session.running.entries.filter(entry => !injector.unavailableEntries.has(entry.name));
    const loading = session.runLoad(options.durationMs, load.burstShape, options.scale);
    await injector.run();
    const calls = await loading;
    await injector.waitUntilHealthy();
    await setUp.waitUntilSettled(setUp.createOperatorClient(session.running));
    return {
        calls: calls.length,
        faults: injector.count,
        finals: callRecord.countFinalOutcomes(calls),
        violations: await session.check(calls),
    };
}

class FaultInjector {
    readonly unavailableEntries = new Set<string>();
    readonly #session: benchSession.Session;
    readonly #options: SoakOptions;
    readonly #random: randomSource.RandomSource;
    readonly #active = new Map<string, Promise<void>>();
    #stopCount = 0;
    count = 0;

    constructor(session: benchSession.Session, options: SoakOptions) {
        this.#session = session;
        this.#options = options;
        this.#random = new randomSource.RandomSource(session.seed + faultSeedOffset);
    }

    async run(): Promise<void> {
        const endAt = performance.now() + this.#options.durationMs;
        const names = this.#options.names ?? Object.keys(soakFaults.soakFaults);
        while (performance.now() < endAt) {
            await delay(this.#random.nextExponential(meanIntervalMs));
            const name = this.#random.pick(names);
            if (this.#active.size < maxActiveFaults && !this.#active.has(name)) {
                await this.#inject(name);
            }
        }
    }

    async #inject(name: string): Promise<void> {
        const fault = await soakFaults.soakFaults[name]?.({
            running: this.#session.running,
            random: this.#random,
            unavailableEntries: this.unavailableEntries,
            nextStopNumber: () => this.#stopCount += 1,
        });
        if (fault === undefined) {
            return;
        }
        this.count += 1;
        const time = new Date().toISOString();
        this.#options.onFault(`${time} ${name}: ${fault.subject}, ${fault.durationMs} ms`);
        this.#active.set(name, this.#endAfterDuration(name, fault));
    }

    async #endAfterDuration(name: string, fault: soakFaults.ActiveFault): Promise<void> {
        await delay(fault.durationMs);
        await fault.end();
        this.#active.delete(name);
    }

    /** Waits until every fault has ended and all entry instances are ready again. */
    async waitUntilHealthy(): Promise<void> {
        await Promise.all(this.#active.values());
        await this.#session.running.waitReady();
    }
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
