/**
 * Requests and caches tickets. For a queue whose route has `advice`, the start of a task requires a ticket from the
 * advice service, which issues it for a step on a server or denies it. Tickets are requested when a step is ready, for
 * a limited number of servers and one call at a time, and are kept while they are valid.
 *
 * Steps are asked for in the order of the last pass, but those whose last request brought no tickets only take turns with
 * the others, so they don't keep these waiting.
 */
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as context from "./context.js";
import type * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";

/** Servers that one call asks for: some of them may be denied, and each adds to the response time. */
const serversPerCall = 12;
/** Time in ms added to the advice service's decision time for the timeout of a call. */
const callMargin = 1500;
/** Time in ms before its expiry from which a ticket is no longer used, since the start takes time to arrive. */
const validityMargin = 300;
/** Time in ms after a request before the next one for a step that has tickets. */
const repeatDelay = 1000;

interface Ticket {
    readonly text: string;
    readonly bootId: string;
    /** On the monotonic clock, ms. */
    readonly validUntil: number;
}

interface StepTickets {
    readonly byServer: Map<string, Ticket>;
    /** Boot IDs of servers for which the advice service denied a ticket; a denial is final. */
    readonly denied: Set<string>;
    /** On the monotonic clock: when a request last brought no tickets; `undefined` if the last one brought some. */
    refusedAt: number | undefined;
    /** On the monotonic clock: no request before this time. */
    nextRequestAt: number;
}

/** A step that waits for its turn to be asked for. */
interface PendingRequest {
    readonly candidate: jobRegistry.Candidate;
    readonly tickets: StepTickets;
    /** Servers that accept tasks. */
    readonly servers: readonly session.ServerSession[];
}

export class TicketCache {
    readonly #steps = new Map<string, StepTickets>();
    /** In the order of the last pass. */
    readonly #pending = new Map<string, PendingRequest>();
    /** Whether the last call was for a step whose request before had brought no tickets. */
    #lastWasRefused = false;
    #requesting = false;

    constructor(private readonly shared: context.CoordinatorContext) {}

    /** Valid ticket for the step on the server. */
    find(stepKey: string, server: session.ServerSession): string | undefined {
        const ticket = this.#steps.get(stepKey)?.byServer.get(server.entry.id);
        const valid = ticket !== undefined && ticket.bootId === server.bootId
            && ticket.validUntil > this.shared.clock.monotonic();
        return valid ? ticket.text : undefined;
    }

    /** Drops the tickets of steps whose job has left the registry. */
    evict(isJobFinished: (stepKey: string) => boolean): void {
        for (const stepKey of this.#steps.keys()) {
            if (isJobFinished(stepKey)) {
                this.#steps.delete(stepKey);
                this.#pending.delete(stepKey);
            }
        }
    }

    /** Drops what is queued, as a pass queues everything anew in its order. */
    startPass(): void {
        this.#pending.clear();
    }

    /** Servers among `servers` for which there is a valid ticket for the step. */
    listPermitted(stepKey: string, servers: readonly session.ServerSession[]): readonly session.ServerSession[] {
        const hasTickets = (this.#steps.get(stepKey)?.byServer.size ?? 0) > 0;
        return hasTickets ? servers.filter(server => this.find(stepKey, server) !== undefined) : [];
    }

    /**
     * Queues a request for a step's tickets, unless one is under way or came too recently.
     *
     * @param servers those that accept tasks; a ticket is requested for those that have room when its turn comes
     */
    request(candidate: jobRegistry.Candidate, stepKey: string, servers: readonly session.ServerSession[]): void {
        const tickets = this.#getOrCreateTickets(stepKey);
        if (this.shared.clock.monotonic() >= tickets.nextRequestAt) {
            this.#pending.set(stepKey, { candidate, tickets, servers });
        }
        if (this.#pending.size > 0 && !this.#requesting) {
            this.#requesting = true;
            void this.#requestPending();
        }
    }

    async #requestPending(): Promise<void> {
        try {
            for (let next = this.#takeNext(); next !== undefined; next = this.#takeNext()) {
                const [stepKey, { candidate, tickets, servers }] = next;
                const step = candidate.active.job.steps[candidate.ready.step]!;
                const asked = servers
                    .filter(server =>
                        scheduling.fits(server.load, step, stepKey) && !tickets.denied.has(server.bootId)
                        && this.find(stepKey, server) === undefined
                    )
                    .sort((a, b) => b.load.freeCpu - a.load.freeCpu)
                    .slice(0, serversPerCall);
                if (asked.length > 0) {
                    this.#lastWasRefused = tickets.refusedAt !== undefined;
                    tickets.nextRequestAt = Number.POSITIVE_INFINITY;
                    const isGranted = await this.#requestTickets(candidate, tickets, asked);
                    const now = this.shared.clock.monotonic();
                    tickets.refusedAt = isGranted ? undefined : now;
                    tickets.nextRequestAt = now + (tickets.byServer.size === 0 ? 0 : repeatDelay);
                }
            }
        }
        finally {
            this.#requesting = false;
        }
    }

    /** Takes the request that is next; of the steps that were refused, the one for which that is longest ago. */
    #takeNext(): [string, PendingRequest] | undefined {
        let first: [string, PendingRequest] | undefined;
        let refused: [string, PendingRequest] | undefined;
        for (const entry of this.#pending) {
            const { refusedAt } = entry[1].tickets;
            if (refusedAt === undefined) {
                first ??= entry;
            }
            else if (refusedAt < (refused?.[1].tickets.refusedAt ?? Number.POSITIVE_INFINITY)) {
                refused = entry;
            }
        }
        const next = this.#lastWasRefused ? first ?? refused : refused ?? first;
        if (next !== undefined) {
            this.#pending.delete(next[0]);
        }
        return next;
    }

    #getOrCreateTickets(stepKey: string): StepTickets {
        let found = this.#steps.get(stepKey);
        if (found === undefined) {
            found = { byServer: new Map(), denied: new Set(), refusedAt: undefined, nextRequestAt: 0 };
            this.#steps.set(stepKey, found);
        }
        return found;
    }

    /** Returns whether the call brought tickets. */
    async #requestTickets(
        candidate: jobRegistry.Candidate,
        stepTickets: StepTickets,
        asked: readonly session.ServerSession[],
    ): Promise<boolean> {
        const { settings, calls, clock, log } = this.shared;
        const { active, route: { advice }, ready } = candidate;
        if (settings.adviceAddress === undefined || advice === undefined || active.entry.cancelledAt !== undefined) {
            return false;
        }
        const boots = new Map(asked.map(server => [server.entry.id, server.bootId]));
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
            return false;
        }
        const validity = decoded.validity > 0 ? decoded.validity : advice.validity;
        const validUntil = clock.monotonic() + validity - validityMargin;
        for (const ticket of decoded.tickets) {
            stepTickets.byServer.set(ticket.server, {
                text: ticket.ticket,
                bootId: boots.get(ticket.server) ?? "",
                validUntil,
            });
            boots.delete(ticket.server);
        }
        boots.forEach(boot => stepTickets.denied.add(boot));
        this.shared.schedulePass();
        return decoded.tickets.length > 0;
    }
}
