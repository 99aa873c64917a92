/** How a start without a response is repeated on a server that answers all but starts. */
import type * as httpCalls from "@catkinwharf/http-calls";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("repeated starts");

/** Times in ms. */
const settledAt = 5000;
const period = 10_000;
/** Shortest time in ms between two calls to a server that doesn't respond. */
const retryDelay = 250;
const maxStarts = period / retryDelay;

const reset: httpCalls.CallError = {
    layer: "http-calls",
    fault: "unanswered",
    timedOut: false,
    onUsedConnection: false,
    reason: "connection reset",
};

for (const longRunning of [false, true]) {
    const kind = longRunning ? "a long-running" : "an ordinary";
    suite(`the start of ${kind} task is sent many times a second to a server that resets its connection`, async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
        try {
            world.startCoordinator();
            await world.time.runUntil(settledAt);
            const counts = { start: 0, renewal: 0 };
            world.decideFate = call => {
                if (call.kind === "renewal") {
                    counts.renewal += 1;
                }
                if (call.kind !== "start") {
                    return { carriedOutAfter: 2, answered: true };
                }
                counts.start += 1;
                return { carriedOutAfter: undefined, answered: false, failure: Promise.resolve(reset) };
            };
            if (longRunning) {
                world.submit("00000000000000aa", 1, 1, 1000);
            }
            else {
                world.submitOrdinary("00000000000000aa", 1, 1000);
            }
            await world.time.runUntil(settledAt + period);
            assert.ok(counts.start <= maxStarts, JSON.stringify(counts));
        }
        finally {
            world.close();
        }
    });
}

suite.run();
