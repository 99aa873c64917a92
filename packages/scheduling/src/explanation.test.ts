/** Explanations of waiting steps name what placement decides by. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const seed = 20_261_206;
const suite = uvu.suite(`explanation (seed ${seed})`);

function createOutlook(
    id: string,
    overrides: Partial<scheduling.ServerLoad>,
    ends: readonly scheduling.PredictedEnd[] = [],
): scheduling.ServerOutlook {
    const load = fixtures.createLoad(id, overrides);
    return {
        load,
        bootId: id,
        capacity: { cpu: 4000, memory: 4000, accelerators: 0 },
        predictEnds: () => [...ends],
    };
}

function createRequest(overrides: Parameters<typeof fixtures.createStep>[0] = {}): scheduling.PlacementRequest {
    const step = fixtures.createStep({ demand: { cpu: 3000, memory: 500, accelerators: 0 }, ...overrides });
    return { stepKey: "job.0.0", step, tasks: [0], avoided: new Set(), alone: false };
}

suite("an operator isn't told what a server lacks, or when it will have room", () => {
    const run = fixtures.createStep({ demand: { cpu: 2000, memory: 100, accelerators: 0 } });
    const spare = { cpu: 0, memory: 0, accelerators: 0 };
    const explanations = scheduling.explainStep(createRequest({ requiredLabel: "r1", maxPerServer: 1 }), [
        createOutlook("full", { freeCpu: 0 }, [{ remaining: 700, step: run }, { remaining: 300, step: run }]),
        createOutlook("no memory", { freeMemory: 0 }),
        createOutlook("label", { labels: [] }),
        createOutlook("limit", { runCountByStep: new Map([["job.0.0", 1]]) }),
        createOutlook("draining", { acceptsTasks: false }),
        createOutlook("reserved", { reservation: { stepKey: "other.0.0", timeLeft: 100, spare } }),
        createOutlook("open", {}),
    ]);
    const byServer = new Map(explanations.map(({ server, lacks, wait }) => [server, [lacks, wait]]));
    assert.equal(Object.fromEntries(byServer), {
        "full": [["processor"], 700],
        "no memory": [["memory"], undefined],
        "label": [["label"], undefined],
        "limit": [["maxPerServer"], undefined],
        "draining": [["notAccepting"], undefined],
        "reserved": [["reserved"], undefined],
        "open": [[], 0],
    });
    assert.equal(explanations.slice(0, 2).map(({ server }) => server), ["open", "full"]);
    assert.is(explanations.find(({ server }) => server === "reserved")!.reservedFor, "other.0.0");
});

suite("a server that is said to lack nothing gets no task, or one that lacks something does", () => {
    const servers = fastCheck.record({
        freeCpu: fastCheck.integer({ min: -500, max: 4000 }),
        freeMemory: fastCheck.integer({ min: 0, max: 1000 }),
        freeAccelerators: fastCheck.integer({ min: 0, max: 1 }),
        acceptsTasks: fastCheck.boolean(),
        mayBeOrderedAway: fastCheck.boolean(),
        labels: fastCheck.constantFrom(["r1"], []),
        reservation: fastCheck.boolean().map(isReserved =>
            isReserved
                ? { stepKey: "other", timeLeft: 100, spare: { cpu: 2000, memory: 400, accelerators: 0 } }
                : undefined
        ),
    });
    const steps = fastCheck.record({
        demand: fastCheck.record({
            cpu: fastCheck.integer({ min: 0, max: 4000 }),
            memory: fastCheck.integer({ min: 0, max: 1000 }),
            accelerators: fastCheck.integer({ min: 0, max: 1 }),
        }),
        filler: fastCheck.boolean(),
        requiredLabel: fastCheck.constantFrom(undefined, "r1"),
        maxUnavailable: fastCheck.constantFrom(undefined, 1),
    });
    fastCheck.assert(
        fastCheck.property(servers, steps, fastCheck.integer({ min: 0, max: 200 }), (load, step, duration) => {
            const request = { ...createRequest({ ...step, taskCount: 1 }), expectedDuration: duration };
            const outlook = createOutlook("a", { ...load, runCountByStep: new Map() });
            const [explained] = scheduling.explainStep(request, [outlook]);
            return (scheduling.placeStep(request, [outlook.load]).length > 0) === (explained!.lacks.length === 0);
        }),
        { seed, numRuns: 1000 },
    );
});

suite.run();
