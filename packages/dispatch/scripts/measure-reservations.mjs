/**
 * Compares reservation policies on bursts above the capacity: waits of large and small tasks, shares of the jobs within their
 * objective, and the utilisation.
 *
 * Usage: tsc -b && node packages/dispatch/scripts/measure-reservations.mjs [number of seeds]
 */
import * as scheduling from "@catkinwharf/scheduling";
import * as placementPlay from "../dist/testing/placement-play.js";

const seedCount = Number(process.argv[2] ?? 4);
const small = { cpu: [1500, 4600], memory: [3100, 9500] };
const large = { cpu: [3300, 10_000], memory: [6900, 21_000] };
const loads = {
    "both classes, 1.5 times the capacity": { classes: [small, large], overload: 1.5 },
    "large class, 1.2 times the capacity": { classes: [large], overload: 1.2 },
    "both classes, 1.0 times the capacity": { classes: [small, large], overload: 1 },
};
const chosen = scheduling.defaultReservationPolicy;
const policies = {
    "one server for the pass, as before": { ...chosen, minShare: Number.POSITIVE_INFINITY },
    "none for large tasks": { ...chosen, maxReservations: 0, maxAgedReservations: 0 },
    "first, more for aged ones (chosen)": chosen,
    "first 4": { ...chosen, maxReservations: 4 },
    "first 4, binding at once": { ...chosen, maxReservations: 4, bindingWait: 0 },
    "conservative, binding at once": { ...chosen, maxReservations: 1000, maxAgedReservations: 1000, bindingWait: 0 },
};

function mean(values) {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function findPercentiles(waits) {
    return [0.5, 0.9, 0.99, 1].map(share => waits[Math.min(waits.length - 1, Math.floor(share * waits.length))]).join(
        "/",
    );
}

for (const [loadName, load] of Object.entries(loads)) {
    for (const [policyName, policy] of Object.entries(policies)) {
        const reports = [];
        for (let seed = 1; seed <= seedCount; seed++) {
            reports.push(await placementPlay.play({ seed, policy, serverCount: 40, ...load }));
        }
        const pick = read => mean(reports.map(read)).toFixed(3);
        const waits = ["large", "small"].map(size =>
            `${size} ${findPercentiles(reports.flatMap(report => report.waits[size]).sort((a, b) => a - b))}`
        );
        console.log(
            `${loadName}, ${policyName}: waits in ms (50/90/99/100%) ${waits.join(", ")};`
                + ` on time: large ${pick(one => one.onTime.large)}, small ${pick(one => one.onTime.small)},`
                + ` all ${pick(one => one.onTime.all)}; of use ${pick(one => one.ofUse)};`
                + ` unplaced ${pick(one => one.unplaced.large)} large, ${pick(one => one.unplaced.small)} small;`
                + ` utilisation ${pick(one => one.utilisation)};`
                + ` backfilled ${pick(one => one.backfilled)}; passes ${pick(one => one.passTime)} ms`,
        );
    }
}
