/** Servers, pools and waves for the tests of this package; jobs and steps come from `job-state`. */
import type * as scheduling from "../index.js";

export * from "@catkinwharf/job-state/testing";

export function createLoad(id: string, changes: Partial<scheduling.ServerLoad> = {}): scheduling.ServerLoad {
    return {
        id,
        rack: "r1",
        labels: ["r1"],
        freeCpu: 4000,
        freeMemory: 4000,
        freeAccelerators: 0,
        open: true,
        penalty: 0,
        tasks: 0,
        longRunningTasks: 0,
        perStep: new Map(),
        ...changes,
    };
}

export function createInstance(
    id: string,
    pool: string,
    changes: Partial<scheduling.PoolInstance> = {},
): scheduling.PoolInstance {
    return {
        id,
        pool,
        available: true,
        arriving: false,
        emptySince: undefined,
        busyFor: 1000,
        cores: 10,
        due: false,
        doubtful: false,
        ...changes,
    };
}

export function createDemand(service: string, changes: Partial<scheduling.PoolDemand> = {}): scheduling.PoolDemand {
    return { service, standby: false, arriving: 0, backlog: 0, clearance: 1000, floor: 0, priority: 0, ...changes };
}

export function createWaveInstance(
    id: string,
    changes: Partial<scheduling.WaveInstance> = {},
): scheduling.WaveInstance {
    return {
        id,
        begun: false,
        out: false,
        available: true,
        runs: 0,
        longRunningRuns: 0,
        reserved: false,
        pinned: false,
        idle: false,
        ...changes,
    };
}
