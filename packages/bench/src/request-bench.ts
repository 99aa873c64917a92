/**
 * Runs one scenario of the request bench under one policy with real processes.
 */
import * as schema from "@catkinwharf/schema";
import * as callRecord from "./call-record.js";
import * as guaranteeChecker from "./guarantee-checker.js";
import * as processUsage from "./process-usage.js";
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

/** Results of one run. */
export interface RequestBenchResult {
    readonly deployment: string;
    readonly scenario: string;
    readonly policy: string;
    readonly seed: number;
    readonly calls: number;
    readonly served: number;
    /** Share of the bursting pools' slot time spent on successfully answered requests; 0 without bursts. */
    readonly burstGoodput: number;
    /** Mean number of executions of the calls that reached a backend server. */
    readonly runsPerCall: number;
    readonly finals: readonly callRecord.CallCount[];
    readonly latencies: readonly requestResults.LatencyRow[];
    /** CPU time of all entry processes per call, in ms. */
    readonly processorMsPerCall: number;
    /** Resident memory of the entry process that uses most. */
    readonly residentMegabytes: number;
    readonly violations: readonly guaranteeChecker.Violation[];
}

/** Multiplies all run times, so that fewer calls a second keep the same number of slots busy. */
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

/** Runs a scenario; resolves with undefined if there is no such scenario or policy. */
export async function runRequestBench(options: RequestBenchOptions): Promise<RequestBenchResult | undefined> {
    const scenario = requestScenarios.requestScenarios[options.scenario];
    const settingsOverrides = requestPolicies.requestPolicies[options.policy];
    if (scenario === undefined || settingsOverrides === undefined) {
        return undefined;
    }
    const launch = { deployment: options.deployment, settingsOverrides };
    return benchSession.runSession({ launch, seed: options.seed, maxAttempts: 1 }, async session => {
        const before = await processUsage.readProcessUsage(session.running);
        const loading = session.runLoad(options.durationMs, scenario.shape);
        await scenario.disrupt(session, options.durationMs);
        const calls = await loading;
        const after = await processUsage.readProcessUsage(session.running);
        const evidence = await session.collector.collect(calls);
        return summarize(options, { ...options, ...evidence, shape: scenario.shape }, {
            processorMs: (after.processorSeconds - before.processorSeconds) * 1_000,
            residentBytes: after.maxResidentBytes,
            violations: guaranteeChecker.checkGuarantees(evidence),
        });
    });
}

interface RunMeasurements {
    readonly processorMs: number;
    readonly residentBytes: number;
    readonly violations: readonly guaranteeChecker.Violation[];
}

const bytesPerMegabyte = 1_048_576;

function summarize(
    options: RequestBenchOptions,
    evidence: requestResults.RunEvidence,
    measurements: RunMeasurements,
): RequestBenchResult {
    const { calls, executions } = evidence;
    const reachedPaths = new Set(executions.map(run => run.path));
    return {
        deployment: options.deployment.name,
        scenario: options.scenario,
        policy: options.policy,
        seed: options.seed,
        calls: calls.length,
        served: calls.filter(requestResults.isServed).length,
        burstGoodput: requestResults.computeBurstGoodput(evidence),
        runsPerCall: executions.length / Math.max(1, reachedPaths.size),
        finals: callRecord.countFinalOutcomes(calls),
        latencies: requestResults.summarizeLatencies(evidence),
        processorMsPerCall: measurements.processorMs / Math.max(1, calls.length),
        residentMegabytes: measurements.residentBytes / bytesPerMegabyte,
        violations: measurements.violations,
    };
}
