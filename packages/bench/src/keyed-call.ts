/**
 * Sends single calls with an idempotency key through one entry instance and counts their executions on the backend
 * servers.
 */
import * as schema from "@catkinwharf/schema";
import * as testUtils from "@catkinwharf/test-utils";
import * as types from "@catkinwharf/types";
import * as undici from "undici";
import * as callRecord from "./call-record.js";
import * as caller from "./caller.js";

/** Default timeout of a call in ms. */
const defaultTimeoutMs = 5_000;
/** Interval in ms between reads of the backend servers' executions. */
const pollIntervalMs = 20;
/** Delay in ms before a call is retried. */
const retryDelayMs = 50;

/** Short session times in ms, for tests that wait for fences and takeovers. */
export const shortSessionTimes: schema.settings.SessionTimes = {
    renewMs: 200,
    fenceMs: 1_500,
    fenceMarginMs: 500,
    secondLimitMs: 4_000,
    leaseMs: 1_500,
    heartbeatMs: 100,
    peerTimeoutMs: 500,
};

/** A call with an idempotency key. */
export interface KeyedCall {
    /** Last segment of the call's path; executions are counted by this path. */
    readonly id: string;
    readonly key?: string;
    readonly service?: string;
    readonly timeoutMs?: number;
    /** Time in ms that the backend server takes to run the call. */
    readonly runMs?: number;
}

/** Sends a call once, without retries, and resolves with the recorded attempt. */
export async function callOnce(entry: caller.EntryTarget, call: KeyedCall): Promise<callRecord.Attempt> {
    const singleAttemptCaller = new caller.Caller({
        maxAttempts: 1,
        retryDelayMs: 0,
        listTargets: () => [entry],
        random: () => 0,
    });
    try {
        const { attempts } = await singleAttemptCaller.call({
            id: call.id,
            service: call.service ?? "invoices",
            method: "POST",
            key: call.key ?? call.id,
            urgency: 3,
            timeoutMs: call.timeoutMs ?? defaultTimeoutMs,
            fields: { [testUtils.serviceTimeHeader]: String(call.runMs ?? 1) },
            dueAt: Date.now(),
        });
        return attempts[0] as callRecord.Attempt;
    }
    finally {
        await singleAttemptCaller.close();
    }
}

/**
 * Reasons of responses with an unknown outcome that state that this attempt was not run. An earlier attempt with the
 * same key may have run.
 */
const retryableReasons: ReadonlySet<string> = new Set([
    types.Reason.claimUnconfirmed,
    types.Reason.platformUnavailable,
]);

/** Retries a call until it is answered. Rejects if an attempt without an answer may have run. */
export async function retryUntilAnswered(entry: caller.EntryTarget, call: KeyedCall): Promise<void> {
    for (;;) {
        const { outcome, reason } = await callOnce(entry, call);
        if (outcome === types.Outcome.answered) {
            return;
        }
        if (outcome !== types.Outcome.notRun && !retryableReasons.has(reason)) {
            throw new Error(`call ${call.id} may have run before it was answered: ${outcome} ${reason}`);
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
}

/** Counts the executions of a call on all backend servers. */
export async function countRuns(running: testUtils.RunningDeployment, id: string): Promise<number> {
    const executionLists = await Promise.all(running.backendServers.map(server => testUtils.readExecutions(server)));
    return executionLists.flat().filter(run => run.path === `/calls/${id}`).length;
}

/** Waits until a backend server has started to run the call. */
export async function waitForRun(running: testUtils.RunningDeployment, id: string): Promise<void> {
    while (await countRuns(running, id) === 0) {
        await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
    }
}

/** Sets the same faults on every backend server. */
export async function setBackendServerFaults(
    running: testUtils.RunningDeployment,
    faults: testUtils.BackendServerFaults,
): Promise<void> {
    await Promise.all(running.backendServers.map(server => testUtils.setFaults(server.controlPort, faults)));
}

/** Requests a ticket from an entry instance. */
export async function requestTicket(entry: caller.EntryTarget): Promise<string> {
    const response = await undici.request(`${entry.callerUrl}/v1/tickets`, { method: "POST" });
    return (await response.body.json() as { key: string; }).key;
}
