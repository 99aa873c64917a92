/**
 * Measures how long the tasks of a lost server wait for their next start, in virtual time, for each way in which a server
 * can be lost, and counts the tasks that run twice at the same time.
 *
 * Usage: node packages/dispatch/scripts/measure-restart-delay.mjs [SEED]
 */
import * as restartDelayPlay from "../dist/testing/restart-delay-play.js";

const seed = Number(process.argv[2] ?? 1);
/** Losses of each kind; their times are spread over one long poll of a server without runs. */
const lossCount = 96;
const pollTime = 2000;

const { Loss } = restartDelayPlay;
const courses = [
    { loss: Loss.seenCrash, idle: false },
    { loss: Loss.silentCrash, idle: false },
    { loss: Loss.restart, idle: false },
    { loss: Loss.restart, idle: true },
    { loss: Loss.cut, idle: false },
    { loss: Loss.cut, idle: true },
    { loss: Loss.restartThenCut, idle: false },
    { loss: Loss.restartThenCut, idle: true },
];

function formatRow(name, delays) {
    const sorted = [...delays].sort((a, b) => a - b);
    const at = share => sorted.length === 0 ? "-" : Math.round(sorted[Math.ceil(share * sorted.length) - 1]);
    return `${name} | ${sorted.length} | ${at(0.5)} | ${at(0.95)} | ${at(1)}`;
}

console.log("| loss | servers before | starts | tasks | p50 | p95 | max | not started again | ran twice |");
console.log("|---|---|---|---|---|---|---|---|---|");
for (const { loss, idle } of courses) {
    const outcomes = [];
    for (let i = 0; i < lossCount; i++) {
        const offset = Math.round(pollTime * i / lossCount); // Boot times are whole ms.
        outcomes.push(await restartDelayPlay.playLoss({ loss, idle, offset, seed: 1000 * seed + i }));
    }
    const count = key => outcomes.reduce((sum, outcome) => sum + outcome[key].length, 0);
    const name = `| ${loss} | ${idle ? "idle" : "busy"}`;
    const confirmed = formatRow("confirmed", outcomes.flatMap(outcome => outcome.confirmed));
    const unconfirmed = formatRow("unconfirmed", outcomes.flatMap(outcome => outcome.unconfirmed));
    console.log(`${name} | ${confirmed} | ${count("idleTasks")} | ${count("doubleTasks")} |`);
    console.log(`${name} | ${unconfirmed} | | |`);
}
