/** Jobs end as they should while racks fall dark: no sound one fails, and a task that crashes its servers is given up. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as rackLossPlay from "./testing/rack-loss-play.js";

const suite = uvu.suite("lost racks");

async function listWrongEnds(courses: readonly rackLossPlay.RackLossCourse[]): Promise<string[]> {
    const found: string[] = [];
    for (const course of courses) {
        const { wrongEnds } = await rackLossPlay.playRackLosses(course);
        found.push(...wrongEnds.map(end => `seed ${course.seed}: ${end}`));
    }
    return found;
}

suite("a job fails whose tasks never failed, as racks fall dark in turn", async () => {
    const courses = [
        { seed: 3, lostServers: 2, interval: 800, killsCoordinator: false },
        { seed: 6, lostServers: 3, interval: 300, killsCoordinator: false },
        { seed: 12, lostServers: 6, interval: 1200, killsCoordinator: false },
        { seed: 24, lostServers: 6, interval: 1200, killsCoordinator: true },
        { seed: 26, lostServers: 2, interval: 300, killsCoordinator: false, namesRacks: false },
        { seed: 36, lostServers: 6, interval: 1200, killsCoordinator: false, namesRacks: false },
    ];
    assert.equal(await listWrongEnds(courses), []);
});

suite("a job fails whose tasks never failed, as a second rack follows the first", async () => {
    const courses = [
        { seed: 1002, lostServers: 2, interval: 0, killsCoordinator: false, secondRackAfter: 1500 },
        { seed: 1004, lostServers: 3, interval: 0, killsCoordinator: false, secondRackAfter: 1000 },
        { seed: 1005, lostServers: 3, interval: 0, killsCoordinator: false, secondRackAfter: 1500 },
    ];
    assert.equal(await listWrongEnds(courses), []);
});

suite("a task that crashes its servers starts on a sixth one, or other jobs fail beside it", async () => {
    const { confirmed, replaced, silent } = rackLossPlay.Crash;
    const courses = [
        { seed: 1001, crash: confirmed, calm: true, killsCoordinator: false },
        { seed: 1004, crash: confirmed, calm: true, killsCoordinator: true },
        { seed: 1007, crash: confirmed, calm: false, killsCoordinator: false },
        { seed: 1010, crash: confirmed, calm: false, killsCoordinator: true },
        { seed: 1013, crash: silent, calm: true, killsCoordinator: false },
        { seed: 1025, crash: replaced, calm: true, killsCoordinator: false },
    ];
    for (const course of courses) {
        const { wrongEnds, crashes } = await rackLossPlay.playRackLosses({
            lostServers: 3,
            interval: 100,
            deadlyJobs: 5,
            ...course,
        });
        assert.equal(wrongEnds, [], `seed ${course.seed}`);
        assert.ok(Math.max(...crashes) <= 5, `seed ${course.seed}: ${crashes.join()}`);
    }
});

suite.run();
