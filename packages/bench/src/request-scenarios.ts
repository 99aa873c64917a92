/**
 * Scenarios of the request bench.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as load from "./load.js";
import * as operatorClient from "./operator-client.js";
import * as benchSession from "./session.js";
import * as setUp from "./set-up.js";

/** Load of a run, and faults or operator actions during it. */
export interface RequestScenario {
    readonly shape: load.LoadShape;
    /** Runs concurrently with the load, which lasts `durationMs`. */
    disrupt(session: benchSession.Session, durationMs: number): Promise<void>;
}

const stopTimeoutMs = 60_000;

const busyShape: load.LoadShape = { ...load.steadyShape, meanUtilization: 0.5 };
const gappedBurstShape: load.LoadShape = { ...load.burstShape, gapMs: 2_000 };

/** Scenarios by name; `direct-compare` is not among them, since it runs no open-loop load. */
export const requestScenarios: Readonly<Record<string, RequestScenario>> = {
    "steady": { shape: busyShape, disrupt: () => Promise.resolve() },
    /** Services burst in turn to five times their mean, more than their pools hold; the others run at a twentieth. */
    "bursts": { shape: gappedBurstShape, disrupt: () => Promise.resolve() },
    /** The first backend server fails all requests during the middle half of the run. */
    "failing-server": { shape: busyShape, disrupt: failServer },
    "planned-stop": { shape: busyShape, disrupt: stopRack },
};

async function failServer(session: benchSession.Session, durationMs: number): Promise<void> {
    await delay(durationMs / 4);
    const server = session.running.backendServers[0];
    if (server === undefined) {
        return;
    }
    await testUtils.setFaults(server.controlPort, { failAll: true });
    await delay(durationMs / 2);
    await testUtils.setFaults(server.controlPort, { failAll: false });
}

async function stopRack(session: benchSession.Session, durationMs: number): Promise<void> {
    await delay(durationMs / 4);
    const client = setUp.createOperatorClient(session.running);
    const racks = [session.running.backendServers[0]?.rack ?? ""];
    await client.announceStop({ name: "bench-stop", reason: "request bench", targets: { racks } });
    await operatorClient.waitForStatus(client, status => status.stops[0]?.state === "finished", stopTimeoutMs);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
