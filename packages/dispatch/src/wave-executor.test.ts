/** Waves of machines that reads of the machine list omit, and the status that the operator is shown of a wave. */
import * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as storeClient from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as fleet from "./fleet.js";
import * as machineInventory from "./machine-inventory.js";
import * as machineOrders from "./machine-orders.js";
import * as testing from "./testing/context.js";
import * as memoryStore from "./testing/memory-store.js";
import * as virtualTime from "./testing/virtual-time.js";
import * as waveExecutor from "./wave-executor.js";

const suite = uvu.suite("wave executor");
const { up, maintenance } = platform.machineCalls.MachineState;
/** Complete reads after which a machine that all of them omitted is gone in any case. */
const manyReads = 20;
/** Time in ms for which the ledger writer collects records, and for the calls after that. */
const settlingTime = 20;

type ListedMachine = Pick<platform.machineCalls.Machine, "id" | "state">;

class PlatformCalls extends httpCalls.HttpClient {
    list = platformTesting.createMachineList([]);
    readonly orders: string[] = [];

    override send(_address: string, call: platform.Call): ReturnType<httpCalls.HttpClient["send"]> {
        if (call.method === "GET") {
            return Promise.resolve(neverthrow.ok(this.list));
        }
        this.orders.push(String(call.body));
        return Promise.resolve(neverthrow.ok(platformTesting.createDoneResponse()));
    }
}

class StatusStore extends storeClient.StoreClient {
    readonly statuses: string[] = [];

    override append(
        topic: string,
        records: readonly platform.storeCalls.KeyedRecord[],
    ): ReturnType<storeClient.StoreClient["append"]> {
        if (topic === platform.storeCalls.waveStatusTopic) {
            this.statuses.push(...records.map(record => String(record.value)));
        }
        return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 0 }));
    }
}

/** Wave 1 under one coordinator, whose clock moves with each read of the list. */
class WaveRun {
    readonly calls = new PlatformCalls();
    readonly #store: StatusStore;
    readonly #executor: waveExecutor.WaveExecutor;
    readonly #inventory: machineInventory.MachineInventory;
    #now = 0;

    constructor(machines: readonly string[], maxOut: number) {
        const routes = new storeClient.StoreRoutes("store:1");
        this.#store = new StatusStore(this.calls, routes, eventLog.silentEventLog, () => this.#now);
        const shared = testing.createContext(this.calls, this.#store, () => this.#now);
        const servers = new fleet.Fleet(shared, {
            onLists: () => undefined,
            onCrash: () => undefined,
            onRebooted: () => undefined,
            onRunsLost: () => undefined,
        });
        const orders = new machineOrders.MachineOrders(shared, new Map());
        this.#inventory = new machineInventory.MachineInventory(shared, servers, orders);
        this.#executor = new waveExecutor.WaveExecutor({
            shared,
            store: this.#store,
            inventory: this.#inventory,
            surplus: () => new Set(machines),
            relocateTask: () => undefined,
            isPinned: () => false,
        });
        this.#executor.apply({ number: 1, machines, duration: 600_000, maxOut });
    }

    get completed(): boolean {
        return this.#store.statuses.includes(String(platform.operatorRecords.encodeWaveStatus(1, true).value));
    }

    /** Reads the list, then takes the wave's next steps. */
    async step(listed: readonly ListedMachine[], unreadableCount = 0): Promise<void> {
        this.#now += machineInventory.refreshInterval;
        this.calls.list = platformTesting.createMachineList(
            listed.map(machine => ({ pool: "quotes", ...machine })),
            unreadableCount,
        );
        this.#inventory.refreshIfDue(this.#now);
        await timers.setTimeout(settlingTime);
        this.#executor.advance(true);
        await timers.setTimeout(settlingTime);
    }
}

suite("a wave is completed without a machine that one read of the list omits", async () => {
    const other = { id: "m2", state: up };
    for (const before of [[], [[{ id: "m1", state: maintenance }, other]]]) {
        const run = new WaveRun(["m1"], 1);
        for (const listed of before) {
            await run.step(listed);
        }
        await run.step([other]);
        assert.not(run.completed);
        await run.step([{ id: "m1", state: up }, other]);
        assert.is(run.calls.orders.length, 1);
        for (let i = 0; i < manyReads; i++) {
            await run.step([{ id: "m1", state: up }, other]);
        }
        assert.ok(run.completed);
        assert.is(run.calls.orders.length, 1);
    }
});

suite("a wave is completed without a machine whose row of the list can't be read", async () => {
    const run = new WaveRun(["m1"], 1);
    for (let i = 0; i < manyReads; i++) {
        await run.step([{ id: "m2", state: up }], 1);
    }
    assert.not(run.completed);
});

suite("a machine that one read of the list omits leaves its place in maintenance to another", async () => {
    const second = { id: "m2", state: up };
    const run = new WaveRun(["m1", "m2"], 1);
    await run.step([{ id: "m1", state: up }, second]);
    assert.is(run.calls.orders.length, 1);
    await run.step([second]);
    await run.step([{ id: "m1", state: maintenance }, second]);
    assert.is(run.calls.orders.length, 1);
});

suite("a machine that is gone for good holds up its wave no longer", async () => {
    const run = new WaveRun(["m1", "m2"], 1);
    await run.step([{ id: "m1", state: maintenance }, { id: "m2", state: up }]);
    for (let i = 0; i < manyReads; i++) {
        await run.step([{ id: "m2", state: up }]);
    }
    assert.is(run.calls.orders.length, 1);
    assert.ok(run.completed);
});

/** Wave 1 with one machine, under a coordinator whose store is shared with others. */
function createExecutor(topics: memoryStore.MemoryLog, epoch: number): waveExecutor.WaveExecutor {
    const calls = new PlatformCalls();
    const store = new memoryStore.MemoryStore(topics, new virtualTime.VirtualTime(), () => true);
    const shared = testing.createContext(calls, store, () => performance.now(), { epoch, sequence: 0 });
    const servers = new fleet.Fleet(shared, {
        onLists: () => undefined,
        onCrash: () => undefined,
        onRebooted: () => undefined,
        onRunsLost: () => undefined,
    });
    const executor = new waveExecutor.WaveExecutor({
        shared,
        store,
        inventory: new machineInventory.MachineInventory(
            shared,
            servers,
            new machineOrders.MachineOrders(shared, new Map()),
        ),
        surplus: () => new Set(),
        relocateTask: () => undefined,
        isPinned: () => false,
    });
    executor.apply({ number: 1, machines: ["m1"], duration: 600_000, maxOut: 1 });
    return executor;
}

function findStatus(topics: memoryStore.MemoryLog): string | undefined {
    const newest = topics.listNewest(platform.storeCalls.waveStatusTopic)[0]?.record;
    return newest === undefined ? undefined : String(newest.value);
}

const completedStatus = String(platform.operatorRecords.encodeWaveStatus(1, true).value);

suite(
    "the operator isn't told that a wave is completed whose coordinator was lost right after the last order",
    async () => {
        const topics = new memoryStore.MemoryLog();
        const executor = createExecutor(topics, 2);
        executor.restore(1, { begun: ["m1"], completed: true, seenAt: Date.now() });
        executor.advance(false);
        await timers.setTimeout(3 * settlingTime);
        executor.stop();
        assert.is(findStatus(topics), completedStatus);
    },
);

suite("a completed wave is shown as running after a status of the coordinator before was stored late", async () => {
    const topics = new memoryStore.MemoryLog();
    let carryOut: (() => void) | undefined;
    topics.holdsAppend = ({ topic }, carryOutLate) => {
        const isHeld = topic === platform.storeCalls.waveStatusTopic && carryOut === undefined;
        carryOut ??= isHeld ? carryOutLate : undefined;
        return isHeld;
    };
    const lost = createExecutor(topics, 1);
    lost.advance(false);
    await timers.setTimeout(3 * settlingTime);
    lost.stop();
    const successor = createExecutor(topics, 2);
    successor.restore(1, { begun: ["m1"], completed: true, seenAt: Date.now() });
    successor.advance(false);
    await timers.setTimeout(3 * settlingTime);
    successor.stop();
    assert.ok(carryOut !== undefined);
    carryOut();
    assert.is(findStatus(topics), completedStatus);
});

suite.run();
