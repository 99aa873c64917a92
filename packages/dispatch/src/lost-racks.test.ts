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

suite.run();
