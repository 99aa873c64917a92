/** An acknowledgement that was meant for an earlier boot of a server makes the next one forget ends that nobody has read. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("late acknowledgements");

/** Times in ms. */
const submissionAt = 3000;
const duration = 300;
const step = 10;
/** From the sending of the acknowledgement until it is carried out: after the end of a task in the next boot. */
const lateness = 3800;

suite("a task that is done runs again, as an acknowledgement of the boot before has hidden its end", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 1 });
    try {
        world.startCoordinator();
        await world.time.runUntil(submissionAt);
        const { server } = world.machines[0]!;
        const runUntilDone = async (count: number) => {
            while (world.doneTasks < count) {
                await world.time.runUntil(world.time.now + step);
            }
        };
        world.submitOrdinary("00000000000000aa", 1, duration);
        await runUntilDone(1);
        // The next call acknowledges the end.
        world.decideFate = ({ kind }) =>
            kind === "renewal"
                ? { carriedOutAfter: lateness, answered: false }
                : { carriedOutAfter: 2, answered: true };
        await world.time.runUntil(world.time.now + 100);
        const acknowledgedAt = world.time.now;
        world.rebootServer(server!);
        const isRebootSeen = () => world.log.some(({ event }) => event === "server-rebooted");
        // The response that would list the end of the next task is lost.
        world.decideFate = ({ kind }) => ({ carriedOutAfter: 2, answered: kind !== "renewal" || !isRebootSeen() });
        while (!isRebootSeen()) {
            await world.time.runUntil(world.time.now + step);
        }
        world.submitOrdinary("00000000000000bb", 1, duration);
        await runUntilDone(2);
        await world.time.runUntil(acknowledgedAt + lateness);
        world.decideFate = () => ({ carriedOutAfter: 2, answered: true });
        await world.time.runUntil(world.time.now + 8000);
        assert.is(world.doneTasks, 2);
    }
    finally {
        world.close();
    }
});

suite.run();
