/**
 * Sends the starts of runs, and notes what a start without a response may still do.
 */
import * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as context from "./context.js";
import type * as session from "./server-session.js";

/** A start as it was sent. */
export interface SentStart {
    readonly answer: Awaited<ReturnType<httpCalls.HttpClient["send"]>>;
    /** On the monotonic clock. */
    readonly sentAt: number;
    readonly token: number;
    /** Lowest reading of the server's clock that the known boot could give when it was sent. */
    readonly earliest: number;
}

/** Sends the start of a run to a server that has listed its runs. */
export async function sendStart(
    shared: context.CoordinatorContext,
    server: session.ServerSession,
    run: session.ActiveRun,
): Promise<SentStart> {
    const sentAt = shared.clock.monotonic();
    const leaseEnd = (server.clock.estimate(sentAt) ?? 0) + context.computeLeaseDuration(shared.settings);
    const token = server.fence.use();
    const earliest = server.clock.computeEarliestReading(sentAt);
    server.leases.recordOrder(leaseEnd, sentAt);
    run.startSentAt = sentAt;
    run.startLastSentAt = sentAt;
    const reachedKnownBootOnly = run.reachesKnownBootOnly || run.startToken === undefined;
    run.reachesKnownBootOnly = false;
    run.startToken = token;
    run.isStartCertain = run.startsAlone; // Only a server that has just responded gets such a start.
    run.percentChangedAt = sentAt;
    const call = platform.serverCalls.createStartCall(server.entry.id, {
        task: { jobId: run.entry.id, ...run.position },
        run: run.runNumber,
        payload: run.entry.job!.payload,
        leaseEnd,
        fencingToken: token,
        checkpoint: run.checkpoint,
        ticket: run.ticket,
    });
    const answer = await shared.serverCalls.send(server.entry.address, call, context.serverCallTimeout);
    if (answer.isErr()) {
        run.reachesKnownBootOnly = reachedKnownBootOnly && answer.error.onUsedConnection;
    }
    if (answer.isErr() && answer.error.fault !== httpCalls.CallFault.unsent) {
        server.fence.raise();
        server.clock.recordUnanswered(sentAt);
        const now = shared.clock.monotonic();
        // Also of a run that has ended meanwhile, as its start may be carried out late.
        shared.log.warn("start-unanswered", {
            task: run.name,
            phase: run.phase,
            meantFor: run.bootId,
            fencingToken: token,
            sentBefore: Math.round(now - sentAt),
            onUsedConnection: answer.error.onUsedConnection,
            ...server.describeContact(now),
        });
    }
    return { answer, sentAt, token, earliest };
}
