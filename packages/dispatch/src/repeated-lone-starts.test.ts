/** A task that may crash its server starts alone there, also if its start is repeated. */
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("repeated lone starts");

/** Times in ms. */
const settledAt = 5000;
const submissionInterval = 50;
const period = 15_000;
const suspect = "00000000000000aa";

interface SentStart {
    readonly at: number;
    readonly target: string;
    readonly task: string;
}

suite("other tasks start beside a task that crashed a server, as its start is repeated", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 2 });
    try {
        world.startCoordinator();
        await world.time.runUntil(settledAt);
        const starts: SentStart[] = [];
        const listOwn = () => starts.filter(({ task }) => task.startsWith(suspect));
        world.decideFate = ({ kind, target, task }) => {
            if (target === starts[0]?.target && world.log.some(({ event }) => event === "server-rebooted")) {
                return { carriedOutAfter: undefined, answered: false }; // Cut off, so that one server is left.
            }
            if (kind !== "start") {
                return { carriedOutAfter: 2, answered: true };
            }
            starts.push({ at: world.time.now, target, task });
            if (!task.startsWith(suspect) || listOwn().length > 2) {
                return { carriedOutAfter: 2, answered: true };
            }
            if (listOwn().length === 1) {
                // It crashes this server; its next start is lost.
                const { server } = world.machines.find(machine => machine.server?.registration.id === target)!;
                world.time.schedule(() => world.restartSilently(server!, { down: 500, registration: 500 }), 5);
            }
            return { carriedOutAfter: undefined, answered: false };
        };
        world.submitOrdinary(suspect, 1, 1000);
        for (let at = 1000; at < period; at += submissionInterval) {
            const id = at.toString(16).padStart(16, "0");
            world.time.schedule(() => world.submitOrdinary(id, 1, 100), at);
        }
        await world.time.runUntil(settledAt + period);
        assert.ok(world.log.some(({ event }) => event === "server-crashed"));
        const repeated = listOwn().slice(2);
        assert.ok(repeated.length > 0);
        // Those that are sent at the same time were placed in the same pass.
        const beside = starts.filter(other =>
            !other.task.startsWith(suspect)
            && repeated.some(({ at, target }) =>
                target === other.target && other.at > at && other.at - at < scheduling.startupPeriod
            )
        );
        assert.equal(beside, []);
    }
    finally {
        world.close();
    }
});

suite.run();
