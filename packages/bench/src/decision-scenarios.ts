/**
 * What happens in a decision run beside the demand.
 */
import * as decisionDemand from "./decision-demand.js";
import type * as decisionFleet from "./decision-fleet.js";
import type * as decisionRandom from "./decision-random.js";

/** A run's events, and whether it has a wave. */
export interface Scenario {
    readonly hasWave: boolean;
    readonly demand: decisionDemand.BurstShape;
    /** Events after the start of the wave, by the fleet as it then is. */
    readonly listEvents: (
        fleet: decisionFleet.DecisionFleet,
        random: decisionRandom.Random,
    ) => readonly decisionFleet.MemberEvent[];
    /** Whether an instance fails after its reboot, by the number of reboots that ended before. */
    readonly failsAfterReboot: (rebooted: number) => boolean;
}

/** Time that a run of bursts alone lasts, and that a run with a wave may last at most, in reboots. */
export const burstRunReboots = 6;
export const maxWaveReboots = 60;

const badReturns = 2;

const plain: Scenario = {
    hasWave: true,
    demand: decisionDemand.briefBursts,
    listEvents: () => [],
    failsAfterReboot: () => false,
};

/** Scenarios by name. */
export const scenarios = {
    "bursts": { ...plain, hasWave: false },
    "sustained": { ...plain, hasWave: false, demand: decisionDemand.sustainedLoad },
    "wave": plain,
    "wave-rack-lost": { ...plain, listEvents: loseRack },
    "wave-zone-lost": { ...plain, listEvents: loseZone },
    "wave-bad-returns": { ...plain, failsAfterReboot: rebooted => rebooted < badReturns },
} as const satisfies Readonly<Record<string, Scenario>>;

export type ScenarioName = keyof typeof scenarios;

/** A rack is lost between the first reboot and the third, for half a reboot's time up to three. */
function loseRack(
    fleet: decisionFleet.DecisionFleet,
    random: decisionRandom.Random,
): readonly decisionFleet.MemberEvent[] {
    const rack = random.pick([...fleet.members.values()]).member.rack;
    return loseWhere(fleet, random, member => member.rack === rack);
}

function loseZone(
    fleet: decisionFleet.DecisionFleet,
    random: decisionRandom.Random,
): readonly decisionFleet.MemberEvent[] {
    const zone = random.pick([...fleet.members.values()]).member.availabilityZone;
    return loseWhere(fleet, random, member => member.availabilityZone === zone);
}

function loseWhere(
    fleet: decisionFleet.DecisionFleet,
    random: decisionRandom.Random,
    isHit: (member: { readonly rack: string; readonly availabilityZone: string; }) => boolean,
): readonly decisionFleet.MemberEvent[] {
    const at = fleet.now + fleet.deployment.rebootMs * random.between(1, 3);
    const lengthMs = fleet.deployment.rebootMs * random.between(0.5, 3);
    const hit = [...fleet.members.values()].filter(({ member }) => isHit(member));
    return hit.flatMap(({ member }) => [
        { at, instance: member.name, change: "lost" as const },
        { at: at + lengthMs, instance: member.name, change: "back" as const },
    ]);
}
