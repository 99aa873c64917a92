/**
 * What happens in a run of the request bench, by name.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as load from "./load.js";
import * as operator from "./operator.js";
import * as benchSession from "./session.js";
import * as setUp from "./set-up.js";

/** Load, and what is done to the deployment meanwhile. */
export interface RequestScenario {
    readonly shape: load.LoadShape;
    /** Runs beside the load, which lasts `durationMs`. */
    act(session: benchSession.Session, durationMs: number): Promise<void>;
}

const stopLimitMs = 60_000;

const busyShape: load.LoadShape = { ...load.steadyShape, meanUtilization: 0.5 };
const gappedBurstShape: load.LoadShape = { ...load.burstShape, gapMs: 2_000 };

/** Every scenario that runs a load. */
export const requestScenarios: Readonly<Record<string, RequestScenario>> = {
    "steady": { shape: busyShape, act: () => Promise.resolve() },
    /** Each service in turn at five times its mean, more than its pool holds; all others at a twentieth. */
    "bursts": { shape: gappedBurstShape, act: () => Promise.resolve() },
    /** The first service's first backend server fails everything in the middle half. */
    "failing-server": { shape: busyShape, act: failServer },
    "planned-stop": { shape: busyShape, act: stopRack },
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
    const one = setUp.createOperator(session.running);
    const racks = [session.running.backendServers[0]?.rack ?? ""];
    await one.announceStop({ name: "bench-stop", reason: "request bench", targets: { racks } });
    await operator.waitForStatus(one, status => status.stops[0]?.state === "finished", stopLimitMs);
}

function delay(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
