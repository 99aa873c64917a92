/** A server's load follows its registration: capacity, labels, rack and boot. */
import * as testing from "@catkinwharf/job-state/testing";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import type * as context from "./context.js";
import * as fleet from "./fleet.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("fleet");
const stepKey = "00000000000000aa.0.0";
const step = testing.createStep({ demand: { cpu: 1500, memory: 100, accelerators: 0 } });

function createFleet(): fleet.Fleet {
    const ignore = () => undefined;
    const shared = {
        termStartedAt: 0,
        settings: { bounds: { maxLease: 5000 } },
        clock: { monotonic: () => 1, wall: () => 1 },
        log: { info: ignore, warn: ignore },
        schedulePass: ignore,
    };
    return new fleet.Fleet(shared as unknown as context.CoordinatorContext, {
        onLists: ignore,
        onCrash: ignore,
        onRebooted: ignore,
        onRunsLost: ignore,
    });
}

function register(target: fleet.Fleet, fields: Readonly<Record<string, unknown>>): session.ServerSession {
    const value = Buffer.from(JSON.stringify({
        Service: "dispatch",
        Address: "127.0.0.1:1",
        Zone: "zone-a",
        State: "ready",
        Capacity: { Cpu: 4000, MemMb: 1000, Gpu: 2 },
        Labels: ["a", "r1-1"],
        born: 7,
        ...fields,
    }));
    target.applyRecord({ key: "i-1", value } as platform.storeCalls.KeyedRecord);
    return target.sessions.get("i-1")!;
}

/** Makes the server eligible, as its response does. */
function reach(target: fleet.Fleet, server: session.ServerSession, bootedAt = 7): void {
    server.reachable = true;
    server.bootedAt = bootedAt;
    target.refreshLoads();
}

suite("a registration with less capacity leaves less room, and one with more leaves more", () => {
    const target = createFleet();
    const server = register(target, {});
    reach(target, server);
    scheduling.occupy(server.load, step, stepKey);
    register(target, { Capacity: { Cpu: 2900, MemMb: 600, Gpu: 1 } });
    assert.equal([server.load.freeCpu, server.load.freeMemory, server.load.freeAccelerators], [1400, 500, 1]);
    assert.not(scheduling.fits(server.load, step, stepKey));
    register(target, { Capacity: { Cpu: 5000, MemMb: 1000, Gpu: 2 } });
    assert.equal([server.load.freeCpu, server.load.freeMemory, server.load.freeAccelerators], [3500, 900, 2]);
    assert.ok(scheduling.fits(server.load, step, stepKey));
});

suite("a capacity below what runs takes nothing more, until what runs and is stopped has ended", () => {
    const target = createFleet();
    const server = register(target, {});
    reach(target, server);
    scheduling.occupy(server.load, step, stepKey);
    scheduling.occupy(server.load, step, stepKey);
    register(target, { Capacity: { Cpu: 1000, MemMb: 1000 } });
    const smallStep = testing.createStep({ demand: { cpu: 400, memory: 10, accelerators: 0 } });
    assert.not(scheduling.fits(server.load, smallStep, stepKey));
    scheduling.release(server.load, step, stepKey);
    assert.not(scheduling.fits(server.load, smallStep, stepKey));
    scheduling.release(server.load, step, stepKey);
    assert.is(server.load.freeCpu, 1000);
    assert.ok(scheduling.fits(server.load, smallStep, stepKey));
});

suite("labels and rack follow the registration", () => {
    const target = createFleet();
    const server = register(target, {});
    register(target, { Labels: ["b", "r2-1"] });
    assert.equal(server.load.labels, ["b", "r2-1"]);
    assert.is(server.load.rack, "r2-1");
});

suite("a server that has rebooted gets no tasks before the registration of that boot is known", () => {
    const target = createFleet();
    const server = register(target, {});
    reach(target, server, 8);
    assert.not(server.load.acceptsTasks);
    register(target, { born: 8, Labels: ["b", "r1-1"] });
    assert.ok(server.load.acceptsTasks);
});

suite.run();
