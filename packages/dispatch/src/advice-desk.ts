/**
 * Tickets for queues whose policy allows a step on some servers only. They are asked for when a step is ready, for as few
 * servers as are likely to serve, one call at a time, and kept for as long as they hold.
 */
import * as platform from "@catkinwharf/platform";
import type * as context from "./context.js";
import type * as jobBoard from "./job-board.js";
import type * as session from "./server-session.js";

/** Servers that one call asks for; each costs time, and some are not allowed. */
const serversPerCall = 12;
/** Calls that may wait here; the service refuses when 32 do. */
const maxWaiting = 24;
/** Time in ms for a call beside what the service needs for its answer. */
const answerMargin = 1500;
/** Time in ms of a ticket's validity that isn't used, for the way of the start. */
const validityMargin = 300;
/** Time in ms before a step for which no server was allowed is asked for again. */
const repeatDelay = 1000;

interface Ticket {
    readonly text: string;
    readonly boot: string;
    /** On the steady clock, ms. */
    readonly validUntil: number;
}

interface StepTickets {
    readonly byServer: Map<string, Ticket>;
    /** Servers that were asked for and aren't allowed; a step's permissions don't change. */
    readonly denied: Set<string>;
    waiting: boolean;
    notBefore: number;
}

export class AdviceDesk {
    readonly #steps = new Map<string, StepTickets>();
    #last: Promise<void> = Promise.resolve();
    #waiting = 0;

    constructor(private readonly shared: context.CoordinatorContext) {}

    /** The ticket with which tasks of the step may start on the server. */
    find(stepKey: string, server: session.ServerSession): string | undefined {
        const ticket = this.#steps.get(stepKey)?.byServer.get(server.entry.id);
        const valid = ticket !== undefined && ticket.boot === server.boot
            && ticket.validUntil > this.shared.clock.steady();
        return valid ? ticket.text : undefined;
    }

    /** Drops what is kept for steps that are over. */
    forget(isOver: (stepKey: string) => boolean): void {
        for (const stepKey of this.#steps.keys()) {
            if (isOver(stepKey)) {
                this.#steps.delete(stepKey);
            }
        }
    }

    /** Asks for tickets of a step, unless it is being asked for. */
    request(candidate: jobBoard.Candidate, stepKey: string, servers: readonly session.ServerSession[]): void {
        const step = this.#findStep(stepKey);
        const now = this.shared.clock.steady();
        if (step.waiting || now < step.notBefore || this.#waiting >= maxWaiting) {
            return;
        }
        const asked = servers
            .filter(server => !step.denied.has(server.boot) && this.find(stepKey, server) === undefined)
            .sort((a, b) => b.load.freeCpu - a.load.freeCpu)
            .slice(0, serversPerCall);
        if (asked.length === 0) {
            return;
        }
        step.waiting = true;
        this.#waiting += 1;
        this.#last = this.#last.then(() => this.#ask(candidate, step, asked)).finally(() => {
            step.waiting = false;
            step.notBefore = this.shared.clock.steady() + (step.byServer.size === 0 ? 0 : repeatDelay);
            this.#waiting -= 1;
        });
    }

    #findStep(stepKey: string): StepTickets {
        let found = this.#steps.get(stepKey);
        if (found === undefined) {
            found = { byServer: new Map(), denied: new Set(), waiting: false, notBefore: 0 };
            this.#steps.set(stepKey, found);
        }
        return found;
    }

    async #ask(
        candidate: jobBoard.Candidate,
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
        const call = platform.adviceCalls.createAdvice(
            { jobId: active.job.id, occurrence: ready.occurrence, step: ready.step },
            [...boots.keys()],
        );
        const needed = advice.decision + advice.perServer * asked.length;
        const answer = await calls.send(settings.adviceAddress, call, needed + answerMargin);
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
        this.shared.wake();
    }
}
