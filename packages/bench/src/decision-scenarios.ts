/**
 * Scenarios of the decision bench: the demand, and the faults and reboots that occur during a run.
 */
import * as decisionDemand from "./decision-demand.js";
import type * as decisionRandom from "./decision-random.js";
import type * as simulatedFleet from "./simulated-fleet.js";

export interface Scenario {
    /** Whether a planned stop of all availability zones is announced. */
    readonly hasWave: boolean;
    readonly demand: decisionDemand.BurstShape;
    /** Creates the member changes of a run, from the fleet at the announcement of the stop. */
    readonly listEvents: (
        fleet: simulatedFleet.SimulatedFleet,
        random: decisionRandom.Random,
    ) => readonly simulatedFleet.MemberEvent[];
    /** Whether an instance fails after its reboot, given the number of instances that returned before. */
    readonly failsAfterReboot: (returnedCount: number) => boolean;
}

/** Duration after the warm-up of a run without a stop, as a multiple of the reboot time. */
export const burstRunRebootTimes = 6;
/** Maximum duration of the stop, as a multiple of the reboot time. */
export const maxWaveRebootTimes = 60;

/** Number of instances that fail after their reboot in `wave-bad-returns`. */
const failingReturns = 2;

const undisturbedWave: Scenario = {
    hasWave: true,
    demand: decisionDemand.specifiedBursts,
    listEvents: () => [],
    failsAfterReboot: () => false,
};

/** Scenarios by name. */
export const scenarios = {
    "bursts": { ...undisturbedWave, hasWave: false },
    "sustained": { ...undisturbedWave, hasWave: false, demand: decisionDemand.sustainedLoad },
    "wave": undisturbedWave,
    "wave-rack-lost": { ...undisturbedWave, listEvents: loseRack },
    "wave-zone-lost": { ...undisturbedWave, listEvents: loseZone },
    "wave-bad-returns": { ...undisturbedWave, failsAfterReboot: returnedCount => returnedCount < failingReturns },
} as const satisfies Readonly<Record<string, Scenario>>;

export type ScenarioName = keyof typeof scenarios;

/** Loses a random rack 1 to 3 reboot times after the announcement, for 0.5 to 3 reboot times. */
function loseRack(
    fleet: simulatedFleet.SimulatedFleet,
    random: decisionRandom.Random,
): readonly simulatedFleet.MemberEvent[] {
    const rack = random.pick([...fleet.members.values()]).member.rack;
    return loseMembers(fleet, random, member => member.rack === rack);
}

function loseZone(
    fleet: simulatedFleet.SimulatedFleet,
    random: decisionRandom.Random,
): readonly simulatedFleet.MemberEvent[] {
    const zone = random.pick([...fleet.members.values()]).member.availabilityZone;
    return loseMembers(fleet, random, member => member.availabilityZone === zone);
}

function loseMembers(
    fleet: simulatedFleet.SimulatedFleet,
    random: decisionRandom.Random,
    isAffected: (member: { readonly rack: string; readonly availabilityZone: string; }) => boolean,
): readonly simulatedFleet.MemberEvent[] {
    const at = fleet.now + fleet.deployment.rebootMs * random.between(1, 3);
    const durationMs = fleet.deployment.rebootMs * random.between(0.5, 3);
    const affected = [...fleet.members.values()].filter(({ member }) => isAffected(member));
    return affected.flatMap(({ member }) => [
        { at, instance: member.name, change: "lost" as const },
        { at: at + durationMs, instance: member.name, change: "restored" as const },
    ]);
}
