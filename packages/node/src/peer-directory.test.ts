/** A process knows its peers, and they know it, as soon as the store answers. */
import * as jobState from "@catkinwharf/job-state";
import * as store from "@catkinwharf/store";
import * as neverthrow from "neverthrow";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as peerDirectory from "./peer-directory.js";

const suite = uvu.suite("peer directory");
const capacity = { cores: 1, linkRate: 7 };
const own: jobState.NodeAddress = { node: "a", address: "127.0.0.1:1", capacity };
const peer: jobState.NodeAddress = { node: "b", address: "127.0.0.1:2", capacity };

class World {
    now = 0;
    readonly appended: string[] = [];
    reads = 0;
    readonly directory = new peerDirectory.PeerDirectory({
        store: {
            append: topic => {
                this.appended.push(topic);
                return Promise.resolve(neverthrow.ok({ kind: "stored", offset: 0, end: 1 }));
            },
            readNewest: async () => {
                this.reads += 1;
                await this.reading;
                const records = this.stored.map((node, offset) => ({ offset, record: jobState.encodeNode(node) }));
                return neverthrow.ok<store.NewestResult, store.StoreError>({
                    kind: "page",
                    records,
                    more: false,
                    end: records.length,
                    last: undefined,
                });
            },
        },
        own,
        monotonicNow: () => this.now,
        isShuttingDown: () => false,
        onChange: () => undefined,
    });

    /** @param reading ends when the store answers reads */
    constructor(readonly stored: readonly jobState.NodeAddress[], readonly reading = Promise.resolve()) {}
}

suite("a process is unknown among the submissions until it has read its peers' addresses", async () => {
    const world = new World([peer], new Promise(() => {}));
    void world.directory.start();
    await new Promise(resolve => setTimeout(resolve, 10));
    assert.equal(world.appended, [jobState.submissionsTopic]);
});

suite("a process stores its address again with each start, or a new one isn't stored", async () => {
    const known = new World([own, peer]);
    await known.directory.start();
    assert.equal(known.appended, [jobState.submissionsTopic]);
    assert.equal([...known.directory.peers.values()], [peer]);
    const moved = new World([{ ...own, address: "127.0.0.1:3" }]);
    await moved.directory.start();
    assert.equal(moved.appended, [jobState.submissionsTopic, jobState.peersTopic]);
});

suite("each question without an answer reads the addresses again", async () => {
    const world = new World([peer]);
    await world.directory.start();
    await world.directory.refresh();
    assert.is(world.reads, 1);
    world.now += 2000;
    await Promise.all([world.directory.refresh(), world.directory.refresh()]);
    assert.is(world.reads, 2);
});

suite.run();
