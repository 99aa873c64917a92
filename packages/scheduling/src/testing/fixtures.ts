/** Builders of servers, pools and waves for the tests of this package; those of jobs and steps are in `job-state`. */
import type * as scheduling from "../index.js";

export * from "@catkinwharf/job-state/testing";

export function createLoad(id: string, overrides: Partial<scheduling.ServerLoad> = {}): scheduling.ServerLoad {
    return {
        id,
        rack: "r1",
        labels: ["r1"],
        freeCpu: 4000,
        freeMemory: 4000,
        freeAccelerators: 0,
        endingCpu: 0,
        endingMemory: 0,
        endingAccelerators: 0,
        acceptsTasks: true,
        mayBeOrderedAway: false,
        penalty: 0,
        runCount: 0,
        longRunningRunCount: 0,
        startingRunCount: 0,
        runCountByStep: new Map(),
        ...overrides,
    };
}

export function createInstance(
    id: string,
    pool: string,
    overrides: Partial<scheduling.PoolInstance> = {},
): scheduling.PoolInstance {
    return {
        id,
        pool,
        available: true,
        beingMovedIn: false,
        emptySince: undefined,
        busyFor: 1000,
        cores: 10,
        maintenanceDue: false,
        zoneUnreachable: false,
        ...overrides,
    };
}

export function createDemand(service: string, overrides: Partial<scheduling.PoolDemand> = {}): scheduling.PoolDemand {
    return {
        service,
        standby: false,
        arrivingCores: 0,
        backlog: 0,
        allowedWait: 1000,
        floor: 0,
        priority: 0,
        ...overrides,
    };
}

export function createWaveInstance(
    id: string,
    overrides: Partial<scheduling.WaveInstance> = {},
): scheduling.WaveInstance {
    return {
        id,
        begun: false,
        out: false,
        available: true,
        runs: 0,
        longRunningRuns: 0,
        beingDrained: false,
        pinned: false,
        surplus: false,
        ...overrides,
    };
}
