/** A task that crashes its servers is found after two or three of them; tasks beside it and other losses aren't. */
import * as jobState from "@catkinwharf/job-state";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const seed = 20_261_206;
const suite = uvu.suite(`crashes (seed ${seed})`);
const now = 100_000;

type History = Parameters<typeof scheduling.countCrash>[0];

function createHistory(): History {
    const occurrence = jobState.getOrCreateOccurrence(jobState.createProgress(0), fixtures.createJob(), 0);
    return jobState.getOrCreateHistory(occurrence, 0);
}

function createRun(jobId: string, provenTime: number): scheduling.CrashedRun {
    return { jobId, provenTime };
}

suite("only runs that the server wasn't seen to outlast are suspects", () => {
    assert.ok(scheduling.isCrashSuspect(createRun("a", 0)));
    assert.ok(scheduling.isCrashSuspect(createRun("a", scheduling.startupPeriod - 1)));
    assert.not(scheduling.isCrashSuspect(createRun("a", scheduling.startupPeriod)));
});

suite("a crash has a sole cause if all suspects are of one job and no other servers were lost with it", () => {
    const one = [createRun("a", 0), createRun("a", 5)];
    const { sole, shared, joint } = scheduling.CrashEvidence;
    assert.is(scheduling.judgeCrash(one, [now], now), sole);
    assert.is(scheduling.judgeCrash([...one, createRun("b", 0)], [now], now), shared);
    assert.is(scheduling.judgeCrash(one, [now, now - 400, now - 999], now), joint);
    assert.is(scheduling.judgeCrash(one, [now, now - 1000, now - 60_000], now), sole);
});

suite("a task is given up after two crashes, one of them with it as the sole cause, or after three", () => {
    const history = createHistory();
    scheduling.countCrash(history, "sole");
    assert.not(scheduling.crashesServers(history));
    scheduling.countCrash(history, "shared");
    assert.ok(scheduling.crashesServers(history));
    const shared = createHistory();
    scheduling.countCrash(shared, "shared");
    scheduling.countCrash(shared, "joint");
    assert.not(scheduling.crashesServers(shared));
    scheduling.countCrash(shared, "shared");
    assert.ok(scheduling.crashesServers(shared));
});

suite("a suspect starts alone, after a joint loss only if servers crash under it again", () => {
    for (const evidence of ["sole", "shared"] as const) {
        const history = createHistory();
        assert.not(history.startsAlone);
        scheduling.countCrash(history, evidence);
        assert.ok(history.startsAlone);
    }
    const history = createHistory();
    scheduling.countCrash(history, "joint");
    assert.not(history.startsAlone);
    scheduling.countCrash(history, "joint");
    assert.ok(history.startsAlone);
});

suite("a server that outlasts the start of a task clears it", () => {
    const history = createHistory();
    scheduling.countCrash(history, "shared");
    scheduling.countCrash(history, "shared");
    scheduling.clearCrashes(history);
    assert.not(history.startsAlone);
    scheduling.countCrash(history, "sole");
    assert.not(scheduling.crashesServers(history));
});

suite("no task is given up under which fewer than two servers crashed, and none starts after more than three", () => {
    const evidence = fastCheck.constantFrom(...Object.values(scheduling.CrashEvidence));
    fastCheck.assert(
        fastCheck.property(fastCheck.array(evidence, { maxLength: 6 }), series => {
            const history = createHistory();
            let crashes = 0;
            for (const one of series) {
                if (scheduling.crashesServers(history)) {
                    break;
                }
                scheduling.countCrash(history, one);
                crashes += 1;
            }
            return crashes <= 3 && (crashes >= 2 || !scheduling.crashesServers(history));
        }),
        { seed },
    );
});

suite.run();
