/**
 * Runs one scenario under one policy through real processes.
 */
import * as schema from "@catkinwharf/schema";
import * as callRecord from "./call-record.js";
import * as processCost from "./process-cost.js";
import * as promiseChecker from "./promise-checker.js";
import * as requestPolicies from "./request-policies.js";
import * as requestResults from "./request-results.js";
import * as requestScenarios from "./request-scenarios.js";
import * as benchSession from "./session.js";

export interface RequestBenchOptions {
    readonly deployment: schema.settings.Deployment;
    readonly scenario: string;
    readonly policy: string;
    readonly seed: number;
    readonly durationMs: number;
}

/** The figures of one run. */
export interface RequestBenchResult {
    readonly deployment: string;
    readonly scenario: string;
    readonly policy: string;
    readonly seed: number;
    readonly calls: number;
    readonly served: number;
    /** Share of the bursting pools' slot time that served callers; 0 without bursts. */
    readonly burstGoodput: number;
    /** Executions at backend servers for each call that reached one. */
    readonly runsPerCall: number;
    readonly finals: readonly callRecord.CallCount[];
    readonly latencies: readonly requestResults.LatencyRow[];
    /** Processor time of all entry processes in ms for each call. */
    readonly processorMsPerCall: number;
    /** Of the largest entry process. */
    readonly residentMegabytes: number;
    readonly violations: readonly promiseChecker.Violation[];
}

/** Stretches all run times, so that fewer calls a second fill the same slots. */
export function stretchRunTimes(
    deployment: schema.settings.Deployment,
    factor: number,
): schema.settings.Deployment {
    const services = deployment.services.map(service => ({
        ...service,
        meanServiceMs: service.meanServiceMs * factor,
    }));
    return { ...deployment, services };
}

/** Runs a scenario; undefined if there is no such scenario or policy. */
export async function runRequestBench(options: RequestBenchOptions): Promise<RequestBenchResult | undefined> {
    const scenario = requestScenarios.requestScenarios[options.scenario];
    const settingsOverrides = requestPolicies.requestPolicies[options.policy];
    if (scenario === undefined || settingsOverrides === undefined) {
        return undefined;
    }
    const launch = { deployment: options.deployment, settingsOverrides };
    return benchSession.runSession({ launch, seed: options.seed, maxAttempts: 1 }, async session => {
        const before = await processCost.readProcessUse(session.running);
        const loading = session.runLoad(options.durationMs, scenario.shape);
        await scenario.act(session, options.durationMs);
        const calls = await loading;
        const after = await processCost.readProcessUse(session.running);
        const evidence = await session.collector.collect(calls);
        return summarize(options, { ...options, ...evidence, shape: scenario.shape }, {
            processorMs: (after.processorSeconds - before.processorSeconds) * 1_000,
            residentBytes: after.maxResidentBytes,
            violations: promiseChecker.checkPromises(evidence),
        });
    });
}

interface RunCost {
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly violations: readonly promiseChecker.Violation[];
}

const bytesPerMegabyte = 1_048_576;

function summarize(
    options: RequestBenchOptions,
    evidence: requestResults.RunEvidence,
    cost: RunCost,
): RequestBenchResult {
    const { calls, executions } = evidence;
    const reached = new Set(executions.map(run => run.path));
    return {
        deployment: options.deployment.name,
        scenario: options.scenario,
        policy: options.policy,
        seed: options.seed,
        calls: calls.length,
        served: calls.filter(requestResults.isServed).length,
        burstGoodput: requestResults.measureBurstGoodput(evidence),
        runsPerCall: executions.length / Math.max(1, reached.size),
        finals: callRecord.countFinals(calls),
        latencies: requestResults.summarizeLatencies(evidence),
        processorMsPerCall: cost.processorMs / Math.max(1, calls.length),
        residentMegabytes: cost.residentBytes / bytesPerMegabyte,
        violations: cost.violations,
    };
}
