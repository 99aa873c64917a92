/** A task that crashes its servers is found after a few of them; tasks beside it and other losses aren't. */
import * as jobState from "@catkinwharf/job-state";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as scheduling from "./index.js";
import * as fixtures from "./testing/fixtures.js";

const seed = 20_261_206;
const suite = uvu.suite(`crashes (seed ${seed})`);
const now = 100_000;

type History = Parameters<typeof scheduling.clearCrashes>[0];

function createHistory(): History {
    const occurrence = jobState.getOrCreateOccurrence(jobState.createProgress(0), fixtures.createJob(), 0);
    return jobState.getOrCreateHistory(occurrence, 0);
}

function createOutage(server: string, overrides: Partial<scheduling.Outage> = {}): scheduling.Outage {
    return { server, rack: "", lastSeenAt: now - 100, lostBy: now, hasLoneStart: false, ...overrides };
}

function isJoint(outage: scheduling.Outage, outages: readonly scheduling.Outage[], rackUpAt = now + 1): boolean {
    return scheduling.isJoint(outage, outages, (_, since) => rackUpAt > since);
}

suite("only runs that the server wasn't seen to outlast are suspects", () => {
    assert.ok(scheduling.isCrashSuspect({ provenTime: 0 }));
    assert.ok(scheduling.isCrashSuspect({ provenTime: scheduling.startupPeriod - 1 }));
    assert.not(scheduling.isCrashSuspect({ provenTime: scheduling.startupPeriod }));
});

suite("three servers that may have been lost within a second are lost together, two aren't unless of one rack", () => {
    const lost = createOutage("a");
    const near = [400, 1000].map((age, i) => createOutage(`b${i}`, { lastSeenAt: now - 2000, lostBy: now - age }));
    assert.ok(isJoint(lost, [lost, ...near]));
    assert.not(isJoint(lost, [lost, near[0]!]));
    assert.not(isJoint(lost, [lost, near[0]!, createOutage("c", { lostBy: now - 1101, lastSeenAt: 0 })]));
    assert.not(isJoint(lost, [lost, near[0]!, createOutage("c", { lastSeenAt: now + 1001 })]));
    const ofRack = createOutage("a", { rack: "r1" });
    assert.ok(isJoint(ofRack, [createOutage("b", { rack: "r1" })]));
    assert.not(isJoint(ofRack, [createOutage("b", { rack: "r2" })]));
});

suite(
    "servers under tasks that start alone don't make each other's loss a joint one, unless their whole rack is lost",
    () => {
        const outages = ["a", "b", "c", "d"].map(server => createOutage(server, { rack: "r1", hasLoneStart: true }));
        assert.not(isJoint(outages[0]!, outages));
        assert.ok(isJoint(outages[0]!, outages, now));
        assert.ok(isJoint(outages[0]!, [...outages, createOutage("e", { rack: "r1" })]));
        assert.ok(isJoint(outages[0]!, [...outages, createOutage("e"), createOutage("f")]));
    },
);

/** Counts a crash and judges it. */
function countCrash(history: History, { isJoint = false, ...signs }: Partial<scheduling.CrashSigns>): void {
    const crash = { isCertain: true, isLone: false, isJoint, ...signs };
    scheduling.countCrash(history, crash);
    scheduling.judgeCrash(history, crash);
}

suite("a task is given up once a second server has crashed under its lone start", () => {
    for (const isFirstCertain of [false, true]) {
        const history = createHistory();
        countCrash(history, { isCertain: isFirstCertain });
        countCrash(history, { isLone: true });
        assert.not(scheduling.crashesServers(history));
        countCrash(history, { isLone: true });
        assert.ok(scheduling.crashesServers(history));
    }
});

suite("a task that is a suspect of joint losses only is given up with the fourth server", () => {
    for (const isLone of [false, true]) {
        const history = createHistory();
        countCrash(history, { isJoint: true });
        for (let i = 0; i < 2; i++) {
            countCrash(history, { isJoint: true, isLone });
            assert.not(scheduling.crashesServers(history));
        }
        countCrash(history, { isJoint: true, isLone });
        assert.ok(scheduling.crashesServers(history));
    }
});

suite("a start that its server may not have got never gives a task up", () => {
    const history = createHistory();
    for (let i = 0; i < 20; i++) {
        countCrash(history, { isCertain: false, isJoint: i % 2 === 0 });
        assert.not(scheduling.crashesServers(history));
    }
});

suite("a suspect starts alone, after a joint loss only if servers crash under it again", () => {
    const crash = { isCertain: true, isLone: false };
    const single = createHistory();
    assert.not(single.startsAlone);
    scheduling.countCrash(single, { ...crash, isJoint: false });
    assert.ok(single.startsAlone);
    scheduling.judgeCrash(single, { ...crash, isJoint: true });
    assert.not(single.startsAlone);
    const joint = createHistory();
    countCrash(joint, { isJoint: true });
    assert.not(joint.startsAlone);
    countCrash(joint, { isJoint: true });
    assert.ok(joint.startsAlone);
});

suite("a server that outlasts the start of a task clears it", () => {
    const history = createHistory();
    countCrash(history, {});
    countCrash(history, { isLone: true });
    scheduling.clearCrashes(history);
    assert.not(history.startsAlone);
    countCrash(history, {});
    countCrash(history, { isLone: true });
    assert.not(scheduling.crashesServers(history));
});

suite("no task is given up under which fewer than three servers crashed, and none starts after more than four", () => {
    const crash = fastCheck.record({
        isCertain: fastCheck.boolean(),
        isAlone: fastCheck.boolean(),
        isJoint: fastCheck.boolean(),
    });
    fastCheck.assert(
        fastCheck.property(fastCheck.array(crash, { maxLength: 12 }), series => {
            const history = createHistory();
            let certain = 0;
            let crashes = 0;
            for (const { isCertain, isAlone, isJoint } of series) {
                if (scheduling.crashesServers(history)) {
                    break;
                }
                countCrash(history, { isCertain, isLone: isCertain && isAlone && history.startsAlone, isJoint });
                certain += isCertain ? 1 : 0;
                crashes += 1;
            }
            return certain <= 4 && (crashes >= 3 || !scheduling.crashesServers(history));
        }),
        { seed },
    );
});

suite.run();
