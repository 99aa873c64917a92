/** A task that crashes its server at its start is given up, also if the machine comes back with another server. */
import * as platform from "@catkinwharf/platform";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as simulation from "./testing/simulation.js";

const suite = uvu.suite("crashes of replaced servers");

/** Times in ms. */
const settledAt = 5000;
const crashAfter = 5;
const downTime = 3000;
const end = 90_000;

suite(
    "a task crashes server after server, as a start without a response outlives the list that shows the crash",
    async () => {
        const world = new simulation.Simulation({ random: () => 0.5, machineCount: 4 });
        try {
            world.startCoordinator();
            await world.time.runUntil(settledAt);
            world.decideFate = ({ target, kind }) => {
                if (kind !== "start") {
                    return { carriedOutAfter: 2, answered: true };
                }
                const machine = world.machines.find(({ server }) => server?.registration.id === target);
                if (machine !== undefined) {
                    world.time.schedule(() => {
                        world.endServer(machine);
                        machine.state = platform.machineCalls.MachineState.down;
                        world.time.schedule(() => world.startServer(machine), downTime);
                    }, crashAfter);
                }
                return { carriedOutAfter: 2, answered: false };
            };
            world.submitOrdinary("00000000000000aa", 1, 1000);
            await world.time.runUntil(settledAt + end);
            const events = world.log.map(({ event }) => event);
            assert.ok(
                events.includes("task-given-up"),
                `${events.filter(event => event === "server-crashed").length} crashes`,
            );
            const { fields } = world.log.find(({ event }) => event === "task-given-up")!;
            const records = fields["records"] as { readonly start: string; readonly lone: boolean; }[];
            assert.equal(records.map(({ start, lone }) => [start, lone]), [
                ["no response", false],
                ["no response", true],
                ["no response", true],
            ]);
        }
        finally {
            world.close();
        }
    },
);

suite.run();
