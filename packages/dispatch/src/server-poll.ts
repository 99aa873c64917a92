/** Sends the calls with which the coordinator polls a backend server. */
import type * as httpCalls from "@catkinwharf/http-calls";
import * as platform from "@catkinwharf/platform";
import * as timers from "node:timers/promises";
import * as context from "./context.js";
import type * as session from "./server-session.js";

type Answer = Awaited<ReturnType<httpCalls.HttpClient["send"]>>;

/** Time in ms after which a server's first renewal is repeated; servers usually respond within a few ms. */
const firstRenewalRepeatDelay = 200;

/**
 * Asks a server for its clock, without which its lease can't be renewed. Little may be left of the lease when a coordinator
 * takes over, so the call is repeated beside the first one if that gets no response soon.
 */
export async function sendFirstRenewal(
    client: httpCalls.HttpClient,
    address: string,
    call: platform.Call,
): Promise<Answer> {
    const send = () => client.send(address, call, context.serverCallTimeout);
    const first = send();
    const early = await Promise.race([first, timers.setTimeout(firstRenewalRepeatDelay)]);
    if (early !== undefined) {
        return early;
    }
    const second = send();
    const firstIsFaster = await Promise.race([first.then(() => true), second.then(() => false)]);
    const answer = await (firstIsFaster ? first : second);
    return answer.isOk() ? answer : firstIsFaster ? second : first;
}

/** Asks a server for its list at once, and makes it refuse late calls with a lower fencing token. */
export function sendFencingToken(
    { serverCalls }: Pick<context.CoordinatorContext, "serverCalls">,
    { entry, fence }: session.ServerSession,
): Promise<Answer> {
    const call = platform.serverCalls.createLeaseRenewalCall(entry.id, {
        fencingToken: fence.token,
        acknowledgedEnd: 0,
        leaseEnd: undefined,
        wait: 0,
    });
    return serverCalls.send(entry.address, call, context.serverCallTimeout);
}

/**
 * Asks a server whether the known boot is up. If it doesn't respond, or another boot does, the server is in doubt.
 *
 * @returns whether the known boot is up
 */
export async function confirmBoot(
    shared: Pick<context.CoordinatorContext, "serverCalls" | "clock" | "log">,
    server: session.ServerSession,
): Promise<boolean> {
    const sentAt = shared.clock.monotonic();
    const answer = await sendFencingToken(shared, server);
    const now = shared.clock.monotonic();
    if (answer.isErr()) {
        server.clock.recordUnanswered(sentAt);
    }
    const decoded = answer.isOk() ? platform.serverCalls.decodeLeaseRenewal(answer.value) : undefined;
    if (decoded?.kind === "lists" && decoded.bootedAt === server.bootedAt) {
        server.clock.recordLatest(decoded.clock, now);
        return true;
    }
    const reason = answer.isErr() ? answer.error.reason : decoded?.kind;
    shared.log.info("boot-unconfirmed", { reason, ...server.describeContact(now) });
    server.doubtBoot(now);
    return false;
}

/**
 * Polls a server that may delay its response.
 *
 * @param wait longest delay in ms
 * @returns `undefined` if the wait was interrupted, because the response may not come any more
 */
export async function sendPoll(
    client: httpCalls.HttpClient,
    server: session.ServerSession,
    call: platform.Call,
    wait: number,
): Promise<Answer | undefined> {
    // A poll that is interrupted must not arrive any more, as it may give a lease.
    const abort = new AbortController();
    const answer = client.send(server.entry.address, call, wait + context.serverCallTimeout, abort);
    if (wait === 0) {
        return answer;
    }
    const interrupted = new Promise<undefined>(resolve => server.interruptPoll = () => resolve(undefined));
    const first = await Promise.race([answer, interrupted]).finally(() => server.interruptPoll = undefined);
    if (first === undefined) {
        abort.abort();
    }
    return first;
}
