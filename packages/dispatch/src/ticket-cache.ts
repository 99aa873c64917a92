/**
 * Requests and caches tickets for queues whose policy allows a step on some servers only. Tickets are requested when a
 * step is ready, for a limited number of servers and one call at a time, and are kept while they are valid.
 */
import * as platform from "@catkinwharf/platform";
import type * as context from "./context.js";
import type * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";

/** Servers that one call asks for: some of them may not be allowed, and each adds to the time of the answer. */
const serversPerCall = 12;
/** Calls that may be queued here; the advice service refuses calls when 32 are waiting. */
const maxQueuedCalls = 24;
/** Time in ms added to the service's decision time for the time limit of a call. */
const callMargin = 1500;
/** Time in ms before its expiry from which a ticket is no longer used, since the start takes time to arrive. */
const validityMargin = 300;
/** Time in ms after a request before the next one for a step that has tickets. */
const repeatDelay = 1000;

interface Ticket {
    readonly text: string;
    readonly boot: string;
    /** On the steady clock, ms. */
    readonly validUntil: number;
}

interface StepTickets {
    readonly byServer: Map<string, Ticket>;
    /** Boots of servers that aren't allowed; a step's permissions don't change. */
    readonly denied: Set<string>;
    requestPending: boolean;
    /** On the steady clock: no request before this time. */
    nextRequestAt: number;
}

export class TicketCache {
    readonly #steps = new Map<string, StepTickets>();
    #lastCall: Promise<void> = Promise.resolve();
    #queuedCalls = 0;

    constructor(private readonly shared: context.CoordinatorContext) {}

    /** Valid ticket for the step on the server. */
    find(stepKey: string, server: session.ServerSession): string | undefined {
        const ticket = this.#steps.get(stepKey)?.byServer.get(server.entry.id);
        const valid = ticket !== undefined && ticket.boot === server.boot
            && ticket.validUntil > this.shared.clock.steady();
        return valid ? ticket.text : undefined;
    }

    /** Drops the tickets of finished steps. */
    evict(isFinished: (stepKey: string) => boolean): void {
        for (const stepKey of this.#steps.keys()) {
            if (isFinished(stepKey)) {
                this.#steps.delete(stepKey);
            }
        }
    }

    /** Queues a request for a step's tickets, unless one is pending, came too recently, or too many are queued. */
    request(candidate: jobRegistry.Candidate, stepKey: string, servers: readonly session.ServerSession[]): void {
        const step = this.#findStep(stepKey);
        const now = this.shared.clock.steady();
        if (step.requestPending || now < step.nextRequestAt || this.#queuedCalls >= maxQueuedCalls) {
            return;
        }
        const asked = servers
            .filter(server => !step.denied.has(server.boot) && this.find(stepKey, server) === undefined)
            .sort((a, b) => b.load.freeCpu - a.load.freeCpu)
            .slice(0, serversPerCall);
        if (asked.length === 0) {
            return;
        }
        step.requestPending = true;
        this.#queuedCalls += 1;
        this.#lastCall = this.#lastCall.then(() => this.#requestTickets(candidate, step, asked)).finally(() => {
            step.requestPending = false;
            step.nextRequestAt = this.shared.clock.steady() + (step.byServer.size === 0 ? 0 : repeatDelay);
            this.#queuedCalls -= 1;
        });
    }

    #findStep(stepKey: string): StepTickets {
        let found = this.#steps.get(stepKey);
        if (found === undefined) {
            found = { byServer: new Map(), denied: new Set(), requestPending: false, nextRequestAt: 0 };
            this.#steps.set(stepKey, found);
        }
        return found;
    }

    async #requestTickets(
        candidate: jobRegistry.Candidate,
        step: StepTickets,
        asked: readonly session.ServerSession[],
    ): Promise<void> {
        const { settings, calls, clock, log } = this.shared;
        const { active, ready } = candidate;
        const advice = active.route.advice;
        if (settings.adviceAddress === undefined || advice === undefined || active.entry.cancelledAt !== undefined) {
            return;
        }
        const boots = new Map(asked.map(server => [server.entry.id, server.boot]));
        const call = platform.adviceCalls.createAdviceCall(
            { jobId: active.job.id, occurrence: ready.occurrence, step: ready.step },
            [...boots.keys()],
        );
        const decisionTime = advice.decision + advice.perServer * asked.length;
        const answer = await calls.send(settings.adviceAddress, call, decisionTime + callMargin);
        const decoded = answer.isOk() ? platform.adviceCalls.decodeAdvice(answer.value) : undefined;
        if (decoded?.kind !== "tickets") {
            log.warn("advice-missing", {
                job: active.job.id,
                reason: answer.isErr() ? answer.error.reason : decoded,
            });
            return;
        }
        const validity = decoded.validity > 0 ? decoded.validity : advice.validity;
        const validUntil = clock.steady() + validity - validityMargin;
        for (const ticket of decoded.tickets) {
            step.byServer.set(ticket.server, { text: ticket.ticket, boot: boots.get(ticket.server) ?? "", validUntil });
            boots.delete(ticket.server);
        }
        boots.forEach(boot => step.denied.add(boot));
        this.shared.schedulePass();
    }
}
