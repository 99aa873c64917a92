/**
 * Paces fillers, which run in the processor time that other tasks leave unused: slows them while the tail latency of a serving
 * task on the same server is near its target, and speeds them up again when it is well below.
 */
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as context from "./context.js";
import * as session from "./server-session.js";

/** Decides the pace of each filler on a server that has listed its runs, and sends it where it changes. */
export function paceFillers(shared: context.CoordinatorContext, server: session.ServerSession): void {
    const running = [...server.runs.values()].filter(run => run.phase === session.RunPhase.running);
    const fillers = running.filter(run => run.step.filler);
    if (fillers.length === 0) {
        return;
    }
    // For a task with a target, `usage` is its tail latency.
    const serving = running
        .filter(run => run.step.tailTarget > 0)
        .map(run => ({ tail: run.usage, target: run.step.tailTarget }));
    for (const filler of fillers) {
        const pace = scheduling.decidePace(serving, filler.pace);
        if (pace !== filler.pace) {
            shared.log.info("filler-paced", {
                server: server.entry.id,
                step: filler.stepKey,
                from: filler.pace,
                to: pace,
                serving,
            });
            void sendPace(shared, server, filler, pace);
        }
    }
}

/** If the order fails, the pace is decided and sent anew after the next lease renewal. */
async function sendPace(
    shared: context.CoordinatorContext,
    server: session.ServerSession,
    run: session.ActiveRun,
    percent: number,
): Promise<void> {
    const before = run.pace;
    run.pace = percent;
    const call = platform.serverCalls.createPaceCall(server.entry.id, {
        task: { jobId: run.entry.id, ...run.position },
        run: run.runNumber,
        percent,
        fencingToken: server.fence.use(),
    });
    const answer = await shared.serverCalls.send(server.entry.address, call, context.serverCallTimeout);
    if (answer.isErr()) {
        server.fence.raise(); // Else the order could be carried out after a later one.
    }
    if (answer.isErr() || platform.serverCalls.decodeOrderResult(answer.value).kind !== "done") {
        run.pace = before;
        // The server didn't respond, or refused.
        shared.log.warn("pace-unanswered", { server: server.entry.id, step: run.stepKey, percent });
    }
}
