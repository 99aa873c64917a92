/**
 * The store stores a submission late and doesn't answer. Its requester gets no success and cancels the job; the cancelling is
 * acknowledged. Then the submission is stored, and the job runs for good.
 */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";
import * as testCase from "../harness-3/case.js";

/** Time in ms after which the store carries out a write that it doesn't answer; 1 to 6 s by the pages. */
const lateness = 6000;
/** Time in ms for which writes go so; 4.5 s at most in the site files. */
const lossTime = 4500;
/** `cancel_ms` and `StopMs`. */
const cancelTime = 3000;
const stopTime = 200;
/** Time in ms after the acknowledgement at which the job must long be gone. */
const watchTime = 15_000;

let losesUntil = 0;
let lost = 0;
let answered = 0;

await testCase.runCase({
    number: 14,
    queues: [{ name: "quotes", service: "desk" }],
    processes: 3,
    machines: { desk: 2 },
    openStore: async deployment => {
        const front = new platformStandIns.StoreFront(deployment().store);
        await front.start();
        front.findFault = ({ topic, isAppend }) => {
            if (!isAppend) {
                return undefined;
            }
            const isLost = topic === "keyed.submissions" && performance.now() < losesUntil;
            if (performance.now() < losesUntil) {
                lost += isLost ? 1 : 0;
                answered += isLost ? 0 : 1;
            }
            return isLost ? { fault: platformStandIns.StoreFault.late, delay: lateness } : undefined;
        };
        return front.address;
    },
    play: async ({ trouble, deployment, record }) => {
        const target = `/quotes/${testCase.formatId(0x14)}`;
        const coordinator = deployment.findCoordinator()!;
        const [first, second] = deployment.processes.filter(node => node !== coordinator);
        const body = platformStandIns.createJobBody({}, { tasks: 1, longRunning: true });
        losesUntil = trouble ? performance.now() + lossTime : 0;
        const submitted = await deployment.sendRequest(first!, "POST", target, body);
        record(`POST ${target} at ${first!.name}: ${submitted?.status ?? "no response"}`);
        const cancelled = await deployment.sendRequest(second!, "DELETE", target);
        const acknowledgedAt = Date.now();
        record(`DELETE ${target} at ${second!.name}: ${cancelled?.status ?? "no response"}`);
        if (cancelled === undefined || (cancelled.status !== 200 && cancelled.status !== 410)) {
            return undefined;
        }
        await timers.setTimeout(watchTime);
        const state = await deployment.sendRequest(second!, "GET", target);
        record(`GET ${target}: ${state?.status} ${state?.body.State ?? ""}`);
        record(`writes during the loss: ${lost} lost, ${answered} answered`);
        const late = deployment.machines.history.flatMap(({ server, task, run, startedAt, endedAt, how }) => {
            const start = startedAt - acknowledgedAt;
            const end = endedAt === undefined ? undefined : endedAt - acknowledgedAt;
            record(
                `run ${task}/${run} on ${server}: started ${start} ms after the acknowledgement, ended ${how} ${end}`,
            );
            return start > cancelTime || end === undefined || end > cancelTime + stopTime
                ? [`${task}/${run} started ${start} ms after the acknowledgement and ended ${end ?? "never"}`]
                : [];
        });
        return late.length === 0 ? undefined : `a cancelled job runs: ${late.join(", ")}`;
    },
});
