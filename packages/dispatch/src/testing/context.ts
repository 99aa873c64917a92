/** Builder of a coordinator's context for the tests of this package. */
import * as eventLog from "@catkinwharf/event-log";
import type * as httpCalls from "@catkinwharf/http-calls";
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import type * as storeClient from "@catkinwharf/store";
import type * as context from "../context.js";
import type * as leaderElection from "../leader-election.js";
import * as ledgerWriter from "../ledger-writer.js";

export const settings: platform.settings.ProcessSettings = {
    node: "a",
    capacity: { cores: undefined, linkRate: undefined },
    availabilityZone: "a",
    ip: "",
    callerAddress: "",
    readinessAddress: "",
    internalPorts: [1, 2],
    storeAddress: "store:1",
    storeLimits: { appendSize: 100_000, recordSize: 20_000 },
    machinesAddress: "machines:1",
    adviceAddress: undefined,
    bounds: {
        grace: 6000,
        maxLease: 6000,
        orderSeparation: 3000,
        maintenance: 2000,
        status: 120_000,
        stop: 400,
        configurationDelay: 2000,
        revocation: 5000,
    },
    requiresKeys: false,
    strictRevocation: false,
    requestLimits: {},
    machine: { memory: undefined, descriptors: undefined },
};

/** Context of a coordinator, of epoch 1 unless stated, both of whose clocks show `now()`. */
export function createContext(
    calls: httpCalls.HttpClient,
    store: storeClient.StoreClient,
    now: () => number,
    { epoch, sequence }: Pick<leaderElection.Claim, "epoch" | "sequence"> = { epoch: 1, sequence: 0 },
): context.CoordinatorContext {
    const claim = { epoch, sequence, claimedAt: now() };
    return {
        node: settings.node,
        claim,
        epoch,
        termStartedAt: now(),
        settings,
        clock: { monotonic: now, wall: now },
        log: eventLog.silentEventLog,
        calls,
        serverCalls: calls,
        writer: createWriter(store, { claim }),
        jobs: new jobState.JobTable(),
        configuration: () => undefined,
        stepDown: () => undefined,
        mayExtendLeases: () => true,
        lateness: () => 0,
        schedulePass: () => undefined,
    };
}

/** Writer to the ledger, of epoch 1 unless stated, whose events nobody handles unless stated. */
export function createWriter(
    store: storeClient.StoreClient,
    overrides: Partial<ledgerWriter.LedgerWriterOptions> = {},
): ledgerWriter.LedgerWriter {
    return new ledgerWriter.LedgerWriter({
        store,
        storeLimits: settings.storeLimits,
        claim: { epoch: 1, sequence: 0, claimedAt: 0 },
        now: () => 0,
        log: eventLog.silentEventLog,
        onRefused: () => undefined,
        onStatusStored: () => undefined,
        onUnstorable: () => undefined,
        ...overrides,
    });
}
