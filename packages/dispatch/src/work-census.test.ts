/** What a new coordinator takes over must be told by server, as runs on servers that nobody can ask end late. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("work census");

suite("tells inherited runs on servers that are listed, have restarted or aren't listed any more", async () => {
    const world = new simulation.Simulation({ random: () => 0.5, machineCount: 3 });
    try {
        world.startCoordinator();
        await world.time.runUntil(5000);
        world.submitOrdinary("00000000000000aa", 6, 60_000, { maxPerServer: 2 });
        await world.time.runUntil(7000);
        world.kill();
        world.rebootServer(world.machines[0]!.server!);
        world.unregister(world.machines[1]!.server!);
        world.startCoordinator();
        await world.time.runUntil(8000);
        const { fields } = world.log.filter(({ event }) => event === "coordinating").at(-1)!;
        assert.equal(fields["inheritedRuns"], { listed: 2, otherBoot: 2, unlisted: 2 });
        assert.is(fields["jobsWithoutRoute"], 0);
    }
    finally {
        world.close();
    }
});

suite.run();
