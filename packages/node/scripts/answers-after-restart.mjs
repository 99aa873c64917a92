/**
 * Measures how long after its start a process answers about jobs that were accepted before, and what that costs at the
 * store: one large process and small ones with slow links lose their power and start again.
 *
 * Usage: node packages/node/scripts/answers-after-restart.mjs [--jobs 1000] [--bandwidth 875000] [--small 2]
 *     [--program FILE] [--lines]
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as os from "node:os";
import * as util from "node:util";
import * as undici from "undici";
import * as slowRestart from "../dist/integration/slow-restart.js";

const { values } = util.parseArgs({
    options: {
        jobs: { type: "string", default: "1000" },
        /** Bytes per second of the small processes' links. */
        bandwidth: { type: "string", default: "875000" },
        small: { type: "string", default: "2" },
        /** Program of the processes, to compare with another version's. */
        program: { type: "string" },
        /** Also prints what the processes logged after the start. */
        lines: { type: "boolean", default: false },
    },
});
/** Time in ms for which a caller waits for an answer. */
const callerTimeout = 3000;
const askedJobs = 20;
const paths = Array.from({ length: askedJobs }, (_, i) => `/quotes/${(i + 1).toString(16).padStart(16, "0")}`);

async function ask(node, path) {
    const sentAt = performance.now();
    try {
        const response = await undici.request(`http://127.0.0.1:${node.callerPort}${path}`, {
            headers: { host: "queues.test", "x-deadline-ms": String(callerTimeout) },
        });
        await response.body.text();
        return { status: response.statusCode, duration: performance.now() - sentAt };
    }
    catch {
        return { status: 0, duration: performance.now() - sentAt }; // Not listening yet.
    }
}

/** Unix time in ms at which the process began to run, as it has logged; a busy machine starts it late. */
async function findStart(node) {
    for (;;) {
        const line = node.lines.find(text => text.includes('"event":"started"'));
        if (line !== undefined) {
            return JSON.parse(line).processStart;
        }
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

/** Asks for each job until it is answered about; returns the times in ms after the start of the process, and the refusals. */
async function measure(node) {
    const refusals = [];
    const answeredAt = await Promise.all(paths.map(async path => {
        for (;;) {
            const { status, duration } = await ask(node, path);
            if (status === 200) {
                return Date.now();
            }
            if (status !== 0) {
                refusals.push(duration);
            }
            await new Promise(resolve => setTimeout(resolve, status === 0 ? 20 : 200));
        }
    }));
    const startedAt = await findStart(node);
    return {
        node: node.name,
        startedAfter: startedAt - launchedAt,
        firstAnswer: Math.min(...answeredAt) - startedAt,
        allAnswered: Math.max(...answeredAt) - startedAt,
        refusals: refusals.length,
        longestRefusal: Math.round(Math.max(0, ...refusals)),
    };
}

/** Counts the reasons of the refusals that a process has logged. */
function countReasons(node) {
    const reasons = {};
    for (const line of node.lines.filter(text => text.includes('"event":"request-answered"'))) {
        const { status, reason } = JSON.parse(line);
        if (status !== 200) {
            reasons[reason] = (reasons[reason] ?? 0) + 1;
        }
    }
    return reasons;
}

async function waitUntilRead(node) {
    while (!restarted.hasRead(node)) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    const readAt = Date.now();
    return readAt - await findStart(node);
}

const restarted = new slowRestart.SlowRestart(
    Number(values.small),
    values.program === undefined ? {} : { program: values.program },
);
const { deployment } = restarted;
const calls = {};
const respond = deployment.store.respond.bind(deployment.store);
deployment.store.respond = async (url, body) => {
    const reply = await respond(url, body);
    const counted = calls[`${url.pathname} ${url.searchParams.get("Topic")}`] ??= { calls: 0, bytes: 0 };
    counted.calls += 1;
    counted.bytes += Buffer.byteLength(reply.body);
    return reply;
};
await restarted.start();
const body = platformStandIns.createJobBody({ duration: 50 });
for (const path of paths) {
    await deployment.waitFor(
        `${path} is accepted`,
        async () => (await deployment.sendRequest(restarted.large, "POST", path, body))?.status === 200,
    );
}
await restarted.kill();
restarted.storeCompleted(Number(values.jobs));
const loadBefore = os.loadavg()[0];
for (const key of Object.keys(calls)) {
    delete calls[key];
}
const launchedAt = Date.now();
restarted.launch(Number(values.bandwidth));
const [answers, readAfter] = await Promise.all([
    Promise.all(deployment.processes.map(node => measure(node))),
    Promise.all(deployment.processes.map(node => waitUntilRead(node))),
]);
console.log(JSON.stringify({ ...values, load: [loadBefore, os.loadavg()[0]].map(load => Math.round(load)) }));
answers.forEach((answer, i) =>
    console.log(JSON.stringify({ ...answer, readAfter: readAfter[i], reasons: countReasons(deployment.processes[i]) }))
);
Object.entries(calls).sort().forEach(([call, counted]) => console.log(call, JSON.stringify(counted)));
if (values.lines) {
    deployment.processes.forEach(node => node.lines.forEach(line => console.log(line)));
}
await restarted.stop();
