/** Hands in an ordinary job and asks for it until it is completed. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as testCase from "./case.js";

/** Time in ms within which it should be completed. */
const timeout = 10_000;

/** Whether the job is accepted and completed. */
export async function run({ deployment, record }: testCase.CaseContext, id: string): Promise<boolean> {
    const target = `/quotes/${id}`;
    const body = platformStandIns.createJobBody({ duration: 100 });
    const completed = await testCase.isMetWithin(timeout, async () => {
        for (const node of deployment.processes) {
            const submitted = await deployment.sendRequest(node, "POST", target, body);
            if (submitted?.status === 200) {
                return (await deployment.sendRequest(node, "GET", target))?.body.State === "completed";
            }
        }
        return false;
    });
    record(`ordinary job ${id}: ${completed ? "completed" : `not completed within ${timeout} ms`}`);
    return completed;
}
