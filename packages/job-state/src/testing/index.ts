/** Builders of jobs and steps for tests, with defaults that a test may override. */
import type * as jobState from "../index.js";

export function createStep(overrides: Partial<jobState.Step> = {}): jobState.Step {
    return {
        taskCount: 1,
        demand: { cpu: 1000, memory: 100, accelerators: 0 },
        estimate: 1000,
        dependsOn: [],
        checkpointed: false,
        gang: false,
        sameRack: false,
        requiredLabel: undefined,
        dataRack: undefined,
        maxPerServer: 0,
        speculative: false,
        longRunning: false,
        image: undefined,
        tailTarget: 0,
        filler: false,
        maxUnavailable: undefined,
        ...overrides,
    };
}

export function createJob(overrides: Partial<jobState.Job> = {}): jobState.Job {
    return {
        id: "00000000000000aa",
        queue: "quotes",
        route: undefined,
        organisation: undefined,
        payload: "",
        steps: [createStep()],
        repetition: undefined,
        submittedAt: 0,
        ...overrides,
    };
}
