/**
 * Appends without an answer that the store carries out seconds later, around changes of the coordinator: elections of
 * several processes over a store in memory, in virtual time.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as storeClient from "@catkinwharf/store";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as leaderElection from "./leader-election.js";
import type * as ledgerWriter from "./ledger-writer.js";
import * as serverFence from "./server-fence.js";
import * as contextTesting from "./testing/context.js";
import * as memoryStore from "./testing/memory-store.js";
import * as randomFaults from "./testing/random-faults.js";
import * as virtualTime from "./testing/virtual-time.js";

const suite = uvu.suite("late appends");
const nodes = ["a", "b", "c"];
const firstEpoch = serverFence.computeNextEpoch(0);
/** Time in ms within which somebody coordinates after the last disturbance: the longest silence, twice, and some. */
const settleTime = 12_000;

/** A term that a process has begun to coordinate. */
interface Term {
    readonly epoch: number;
    readonly process: string;
}

/** A process that takes part in the election and, when it has won, does nothing but send heartbeats. */
class Candidate {
    readonly election: leaderElection.LeaderElection;
    readonly #ledger: storeClient.TopicFollower;
    #writer: ledgerWriter.LedgerWriter | undefined;
    #alive = true;

    constructor(private readonly world: World, readonly node: string, readonly processStart: number) {
        const { time, topics } = world;
        const store = new memoryStore.MemoryStore(topics, time, () => this.#alive);
        this.#ledger = new storeClient.TopicFollower(
            store,
            {
                topic: jobState.ledgerTopic,
                handlers: {
                    apply: record => this.election.applyRecord(jobState.decodeLedger(record.key, record.value)),
                },
                wait: 1000,
                pause: () => 150,
                newestOnly: true,
            },
            eventLog.silentEventLog,
            time.clock.wall,
        );
        this.election = new leaderElection.LeaderElection({
            node,
            processStart,
            store,
            ledger: this.#ledger,
            log: eventLog.silentEventLog,
            clock: time.clock,
            onClaimed: claim => this.#coordinate(claim, store),
            probeCoordinator: name => Promise.resolve(world.probe(name)),
            defers: () => false,
            isPrepared: () => this.#alive,
        });
        this.#ledger.start();
        this.election.start();
    }

    get coordinates(): boolean {
        return this.#alive && this.#writer !== undefined;
    }

    #coordinate(claim: leaderElection.Claim, store: storeClient.StoreClient): void {
        const writer = contextTesting.createWriter(store, { claim, onRefused: () => this.#stepDown() });
        const startedAt = this.world.time.now;
        this.#writer = writer;
        this.world.terms.push({ epoch: claim.epoch, process: `${this.node} ${this.processStart}` });
        const timer = setInterval(() => {
            if (this.#writer !== writer || !this.#alive) {
                clearInterval(timer);
                return;
            }
            writer.add(jobState.encodeLeadership({
                epoch: claim.epoch,
                node: this.node,
                processStart: this.processStart,
                resigned: false,
                ordersSettled: false,
                tenure: this.world.time.now - startedAt,
                lateness: 0,
                startDelay: 0,
            }));
        }, leaderElection.heartbeatInterval);
    }

    #stepDown(): void {
        this.#writer?.stop();
        this.#writer = undefined;
        this.election.leading = false;
    }

    kill(): void {
        this.#alive = false;
        this.#writer?.stop();
        this.election.stop();
        this.#ledger.stop();
    }
}

class World {
    readonly time = new virtualTime.VirtualTime();
    readonly topics = new memoryStore.MemoryLog();
    readonly candidates = new Map<string, Candidate>();
    readonly terms: Term[] = [];
    readonly #realRandom = Math.random;

    constructor(readonly random: () => number) {
        this.time.install();
        Math.random = random; // The delays of the claims repeat with the seed.
        nodes.forEach(node => this.launch(node));
    }

    launch(node: string): void {
        this.candidates.set(node, new Candidate(this, node, Math.round(this.time.now)));
    }

    kill(node: string): void {
        this.candidates.get(node)?.kill();
        this.candidates.delete(node);
    }

    probe(node: string): storeClient.ProbeResult {
        const candidate = this.candidates.get(node);
        return candidate === undefined
            ? storeClient.ProbeResult.silent
            : candidate.election.leading
            ? storeClient.ProbeResult.coordinating
            : storeClient.ProbeResult.denied;
    }

    get coordinators(): Candidate[] {
        return [...this.candidates.values()].filter(candidate => candidate.coordinates);
    }

    /** Epochs that more than one process has begun to coordinate. */
    listSharedEpochs(): number[] {
        const epochs = this.terms.map(({ epoch }) => epoch);
        return epochs.filter((epoch, i) => epochs.indexOf(epoch) !== i);
    }

    /** Leadership records that follow one of a higher epoch, as `epoch after epoch`. */
    listOutdatedRecords(): string[] {
        const epochs = this.topics.list(jobState.ledgerTopic).flatMap(({ key, value }) => {
            const record = jobState.decodeLedger(key, value);
            return record?.kind === "leadership" ? [record.leadership.epoch] : [];
        });
        return epochs.flatMap((epoch, i) => i > 0 && epoch < epochs[i - 1]! ? [`${epoch} after ${epochs[i - 1]}`] : []);
    }

    close(): void {
        this.candidates.forEach(candidate => candidate.kill());
        this.time.uninstall();
        Math.random = this.#realRandom;
    }
}

/*
 * A late append of a killed coordinator was stored between its successor's claim and fence, and hid the claim from the
 * restarted process, which claimed the same epoch.
 */
suite("two processes coordinate with one epoch after a late append of their predecessor", async () => {
    const world = new World(randomFaults.createRandom(1));
    try {
        await world.time.runUntil(2000);
        const [first] = world.coordinators;
        assert.ok(first !== undefined);
        let late: (() => void) | undefined;
        let isSuccessorHeld = false;
        world.topics.holdsAppend = ({ records, conditions }, carryOut) => {
            if (conditions.producer?.epoch === firstEpoch && late === undefined) {
                late = carryOut;
                return true;
            }
            if (
                conditions.producer?.epoch === serverFence.computeNextEpoch(firstEpoch) && records.length === 0
                && !isSuccessorHeld
            ) {
                isSuccessorHeld = true;
                world.time.schedule(carryOut, 3000);
                return true;
            }
            return false;
        };
        while (late === undefined) {
            await world.time.runUntil(world.time.now + 10);
        }
        world.kill(first.node);
        while (!isSuccessorHeld) {
            await world.time.runUntil(world.time.now + 10);
        }
        await world.time.runUntil(world.time.now + 400);
        late();
        world.launch(first.node);
        await world.time.runUntil(world.time.now + settleTime);
        assert.equal(world.listOutdatedRecords(), []);
        assert.equal(world.listSharedEpochs(), []);
        assert.is(world.coordinators.length, 1);
    }
    finally {
        world.close();
    }
});

/** Share of the appends to the ledger that get no answer, half of which are carried out late. */
const heldShare = 0.3;
const maxLateness = 6000;
const disturbanceTime = 40_000;

/* The same for any appends and kills. */
for (let seed = 1; seed <= 60; seed++) {
    suite(`an epoch has two coordinators in a drawn course of late appends and kills, seed ${seed}`, async () => {
        const random = randomFaults.createRandom(seed);
        const world = new World(random);
        try {
            world.topics.holdsAppend = (_, carryOut) => {
                if (world.time.now > disturbanceTime || random() >= heldShare) {
                    return false;
                }
                if (random() < 0.5) {
                    world.time.schedule(carryOut, random() * maxLateness);
                }
                return true;
            };
            while (world.time.now < disturbanceTime) {
                await world.time.runUntil(world.time.now + 500 + random() * 3000);
                const victim = random() < 0.7
                    ? world.coordinators[0]?.node
                    : nodes[Math.floor(random() * nodes.length)];
                if (victim !== undefined && world.candidates.has(victim)) {
                    world.kill(victim);
                    world.time.schedule(() => world.launch(victim), 200 + random() * 1500);
                }
            }
            await world.time.runUntil(disturbanceTime + maxLateness + settleTime);
            assert.equal(world.listSharedEpochs(), []);
            assert.equal(world.listOutdatedRecords(), []);
            assert.is(world.coordinators.length, 1);
        }
        finally {
            world.close();
        }
    });
}

suite.run();
