/**
 * Draws faults at random under load, ends each after its time, and checks the promises once all is quiet again.
 */
import * as callRecord from "./call-record.js";
import * as load from "./load.js";
import * as promiseChecker from "./promise-checker.js";
import * as randomSource from "./random-source.js";
import * as benchSession from "./session.js";
import * as setUp from "./set-up.js";
import * as soakFaults from "./soak-faults.js";

export interface SoakOptions {
    readonly durationMs: number;
    /** Factor on the load's rate. */
    readonly scale: number;
    /** Faults to draw from; all if undefined. */
    readonly names: readonly string[] | undefined;
    onFault(line: string): void;
}

export interface SoakSummary {
    readonly calls: number;
    readonly faults: number;
    readonly finals: readonly callRecord.CallCount[];
    readonly violations: readonly promiseChecker.Violation[];
}

/** Mean time in ms between faults. */
const meanGapMs = 1_500;
/** Faults at the same time. */
const maxActive = 3;
/** Seed offset that separates the draw of faults from that of calls. */
const faultSeedOffset = 7_919;

export async function runSoak(session: benchSession.Session, options: SoakOptions): Promise<SoakSummary> {
    const injector = new FaultInjector(session, options);
    session.listTargets = () => session.running.entries.filter(entry => !injector.absent.has(entry.name));
    const loading = session.runLoad(options.durationMs, load.burstShape, options.scale);
    await injector.run();
    const calls = await loading;
    await injector.heal();
    await setUp.waitUntilSettled(setUp.createOperator(session.running));
    return {
        calls: calls.length,
        faults: injector.count,
        finals: callRecord.countFinals(calls),
        violations: await session.check(calls),
    };
}

class FaultInjector {
    readonly absent = new Set<string>();
    readonly #session: benchSession.Session;
    readonly #options: SoakOptions;
    readonly #random: randomSource.RandomSource;
    readonly #active = new Map<string, Promise<void>>();
    #numbers = 0;
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
            await delay(this.#random.nextExponential(meanGapMs));
            const name = this.#random.pick(names);
            if (this.#active.size < maxActive && !this.#active.has(name)) {
                await this.#begin(name);
            }
        }
    }

    async #begin(name: string): Promise<void> {
        const fault = await soakFaults.soakFaults[name]?.({
            running: this.#session.running,
            random: this.#random,
            absent: this.absent,
            nextNumber: () => this.#numbers += 1,
        });
        if (fault === undefined) {
            return;
        }
        this.count += 1;
        const time = new Date().toISOString();
        this.#options.onFault(`${time} ${name}: ${fault.subject}, ${fault.durationMs} ms`);
        this.#active.set(name, this.#endLater(name, fault));
    }

    async #endLater(name: string, fault: soakFaults.ActiveFault): Promise<void> {
        await delay(fault.durationMs);
        await fault.end();
        this.#active.delete(name);
    }

    /** Waits until every fault has ended and all entry instances are ready again. */
    async heal(): Promise<void> {
        await Promise.all(this.#active.values());
        await this.#session.running.waitReady();
    }
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
