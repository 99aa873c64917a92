/**
 * A client hands in some jobs with very many work units. The coordinator runs out of memory, and so does each of its
 * successors, as the jobs stay stored.
 */
import * as testCase from "../harness-3/case.js";
import * as ordinaryJob from "../harness-3/ordinary-job.js";

const jobCount = 30;
/** Work units of each job; the system takes jobs of up to 1,000,000. */
const taskCount = 1_000_000;
/** The same without the disruption. */
const ordinaryTaskCount = 4;
/** Time in ms in which processes may end. */
const watchTime = 60_000;

await testCase.runCase({
    number: 12,
    queues: [{ name: "quotes", service: "desk" }, { name: "reports", service: "press" }],
    processes: 3,
    machines: { desk: 2, press: 2 },
    play: async context => {
        const { trouble, deployment, record, ends } = context;
        await ordinaryJob.run(context, testCase.formatId(1));
        const body = JSON.stringify({
            Spec: JSON.stringify({ duration: 200 }),
            Steps: [{ Count: trouble ? taskCount : ordinaryTaskCount, Cpu: 1000, EstimateMs: 200 }],
        });
        record(`hands in ${jobCount} jobs of ${body.length} bytes: ${body}`);
        const statuses = new Map<string, number>();
        for (let i = 0; i < jobCount; i++) {
            const target = `/reports/${testCase.formatId(0x1000 + i)}`;
            const response = await deployment.sendRequest(deployment.processes[0]!, "POST", target, body);
            const status = String(response?.status ?? "no response");
            statuses.set(status, (statuses.get(status) ?? 0) + 1);
        }
        record(`answers: ${JSON.stringify(Object.fromEntries(statuses))}`);
        await testCase.isMetWithin(trouble ? watchTime : 3000, () => testCase.findFault(ends) !== undefined);
        record(`ends by themselves: ${JSON.stringify(Object.fromEntries(ends))}`);
        await ordinaryJob.run(context, testCase.formatId(2));
        return testCase.findFault(ends);
    },
});
