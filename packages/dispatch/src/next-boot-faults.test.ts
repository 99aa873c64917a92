/** Tasks don't run twice in random courses of servers that restart silently, are cut off and run on. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as randomFaults from "./testing/random-faults.js";

const suite = uvu.suite("silent restarts and cuts");

const seeds = Array.from({ length: 40 }, (_, i) => i + 1);

async function playAll(
    options: Pick<randomFaults.FaultOptions, "delayOrders" | "keepsConnections">,
): Promise<string[]> {
    const found: string[] = [];
    for (const seed of seeds) {
        const run = new randomFaults.FaultyRun({ seed, disturbServers: true, restartServers: true, ...options });
        await run.play();
        found.push(
            ...run.world.singleRunRule.violations.map(violation => `seed ${seed}: ${JSON.stringify(violation)}`),
        );
    }
    return found;
}

suite("a task runs twice in a random course of silent restarts and cuts", async () => {
    assert.equal(await playAll({}), []);
});

suite("a task runs twice in a random course with orders that are carried out 12 s late", async () => {
    assert.equal(await playAll({ delayOrders: true }), []);
});

suite("a task runs twice in a random course in which late orders don't outlast their connections", async () => {
    assert.equal(await playAll({ delayOrders: true, keepsConnections: true }), []);
});

suite.run();
