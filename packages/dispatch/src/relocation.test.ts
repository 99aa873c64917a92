/** Emptying a server never makes more tasks of a step unavailable than the step allows. */
import * as testing from "@catkinwharf/job-state/testing";
import type * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as relocation from "./relocation.js";
import * as serverFence from "./server-fence.js";
import * as session from "./server-session.js";

const suite = uvu.suite("relocation");
/** Ms. */
const stopTime = 400;

function createServer(id: string, room: boolean): session.ServerSession {
    const load: scheduling.ServerLoad = {
        id,
        rack: "r1",
        labels: [],
        freeCpu: room ? 4000 : 0,
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
    };
    const created = new session.ServerSession(
        {
            id,
            service: "dispatch",
            address: "",
            availabilityZone: "a",
            draining: false,
            remaining: undefined,
            cpu: 4000,
            memory: 4000,
            accelerators: 0,
            labels: [],
            rack: "",
            bootedAt: 1,
        },
        load,
        0,
        { lease: 1000, maxLease: 1000 },
        new serverFence.TermTokens(0),
    );
    created.reachable = true;
    const clock = 10_000;
    created.recordList(clock, 0, stopTime);
    created.recordList(clock + stopTime, 0, stopTime);
    return created;
}

const step = testing.createStep({
    taskCount: 3,
    demand: { cpu: 1000, memory: 10, accelerators: 0 },
    estimate: 0,
    longRunning: true,
    maxUnavailable: 1,
});

function addRun(server: session.ServerSession, index: number, percent: number): session.ActiveRun {
    const run: session.ActiveRun = {
        entry: {
            id: "a",
            job: undefined,
            cancelledAt: undefined,
            progress: undefined,
            storedStatus: undefined,
            storedParts: new Set(),
        },
        position: { occurrence: 0, step: 0, index },
        taskIndex: index,
        step,
        stepKey: "a.0.0",
        name: `a.0.0.${index}/1`,
        runNumber: 1,
        bootId: server.bootId,
        phase: session.RunPhase.running,
        expectedInListsFrom: 0,
        plannedAt: 0,
        startSentAt: 0,
        startLastSentAt: 0,
        startToken: undefined,
        reachesKnownBootOnly: false,
        startClock: undefined,
        startsAlone: false,
        isStartCertain: false,
        outlastedStart: false,
        checkpoint: "",
        percent,
        percentChangedAt: 0,
        usage: undefined,
        pace: 100,
        ticket: undefined,
        startedOnNextBoot: false,
        startEvidence: "confirmed",
        measuresDuration: true,
    };
    server.runs.set(String(index), run);
    server.load.longRunningRunCount += 1;
    return run;
}

suite("a task is relocated while the others of its step are available, and none while one is unavailable", () => {
    const [from, other] = [createServer("from", false), createServer("other", true)];
    const first = addRun(from, 0, 100);
    addRun(from, 1, 100);
    const third = addRun(other, 2, 100);
    assert.is(relocation.chooseRelocation(from, [from, other], 0), first);
    third.percent = 60;
    assert.is(relocation.chooseRelocation(from, [from, other], 0), undefined);
    third.percent = 100;
    first.phase = session.RunPhase.stopping;
    assert.is(relocation.chooseRelocation(from, [from, other], 0), undefined);
});

suite("no task is relocated without room elsewhere, or while a server with tasks of the step is unreachable", () => {
    const [from, full] = [createServer("from", false), createServer("full", false)];
    addRun(from, 0, 100);
    addRun(from, 1, 100);
    addRun(full, 2, 100);
    assert.is(relocation.chooseRelocation(from, [from, full], 0), undefined);
    const empty = createServer("empty", true);
    assert.ok(relocation.chooseRelocation(from, [from, full, empty], 0));
    full.reachable = false;
    assert.is(relocation.chooseRelocation(from, [from, full, empty], 0), undefined);
});

suite("a task counts as available although its server has refused to list its runs for seconds", () => {
    const [from, other] = [createServer("from", true), createServer("other", true)];
    addRun(from, 0, 100);
    addRun(from, 1, 100);
    addRun(other, 2, 100);
    const refusedFor = 4000; // Ms.
    from.recordList(20_000, refusedFor, stopTime);
    assert.is(relocation.chooseRelocation(from, [from, other], refusedFor), undefined);
    other.recordList(20_000, refusedFor, stopTime);
    assert.ok(relocation.chooseRelocation(from, [from, other], refusedFor));
});

suite.run();
