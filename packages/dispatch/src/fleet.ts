/**
 * Tracks the backend servers. A loop for each server renews its lease by long polling and collects which tasks run and
 * which have ended there.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import type * as scheduling from "@catkinwharf/scheduling";
import * as timers from "node:timers/promises";
import * as context from "./context.js";
import * as session from "./server-session.js";

/** Receives what servers report about their runs. */
export interface FleetHandlers {
    /** A server listed its running and ended tasks; `sentAt` is when it was asked, on the steady clock. */
    readonly onLists: (
        server: session.ServerSession,
        lists: Extract<platform.serverCalls.LeaseRenewalResult, { readonly kind: "lists"; }>,
        sentAt: number,
    ) => void;
    /** None of the server's earlier runs can be running any more. */
    readonly onGone: (server: session.ServerSession, how: jobState.RunEnd) => void;
}

/** Time in ms for which a server with runs may delay an answer until it has something to report. */
const busyPollWait = 1000;
/** The same for a server with fillers: their pace follows the response times of the tasks beside them. */
const fillerPollWait = 400;
/** The same for a server without runs. */
const idlePollWait = 2000;
/** Time in ms between two calls to a server that doesn't answer or refuses. */
const unreachableRetryDelay = 250;
/**
 * Time in ms between two calls while reported ends can't be stored. The server answers such calls at once, because it
 * still has unacknowledged ends to report.
 */
const unstoredRetryDelay = 400;

export class Fleet {
    readonly sessions = new Map<string, session.ServerSession>();
    #stopped = false;
    #started = false;

    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly handlers: FleetHandlers,
    ) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Starts polling. Runs of earlier coordinators must be known by then, or they would be treated as unknown runs. */
    start(): void {
        this.#started = true;
        for (const server of this.sessions.values()) {
            void this.#pollServer(server);
        }
    }

    /** Applies a server's record; without a value the server is no longer listed. */
    applyRecord(record: platform.storeCalls.KeyedRecord): void {
        if (record.value.length === 0) {
            const known = this.sessions.get(record.key);
            if (known !== undefined) {
                known.unlisted = true;
                this.#updateOpen(known);
            }
            return;
        }
        const entry = platform.operatorRecords.decodeServerEntry(record);
        if (entry === undefined) {
            this.shared.log.warn("server-entry-unreadable", { key: record.key });
            return;
        }
        const known = this.sessions.get(entry.id);
        if (known === undefined) {
            this.#open(entry);
            return;
        }
        if (entry.draining !== known.entry.draining) {
            this.shared.log.info("server-draining", { server: entry.id, remaining: entry.remaining });
        }
        known.entry = entry;
        known.unlisted = false;
        this.#updateOpen(known);
        this.shared.schedulePass();
    }

    /** The servers' topic is read anew: servers that aren't listed again are gone. */
    markAllUnlisted(): void {
        for (const known of this.sessions.values()) {
            known.unlisted = true;
        }
    }

    /** Opens a session for a server that an earlier coordinator used and that is no longer listed. */
    openUnlisted(id: string): session.ServerSession {
        const opened = this.#open({
            id,
            service: "",
            address: "",
            availabilityZone: "",
            draining: true,
            remaining: 0,
            cpu: 0,
            memory: 0,
            accelerators: 0,
            labels: [],
            rack: "",
            bootedAt: undefined,
        });
        opened.unlisted = true;
        return opened;
    }

    listByService(): Map<string, session.ServerSession[]> {
        const byService = new Map<string, session.ServerSession[]>();
        for (const known of this.sessions.values()) {
            const list = byService.get(known.entry.service) ?? [];
            list.push(known);
            byService.set(known.entry.service, list);
        }
        return byService;
    }

    #open(entry: platform.operatorRecords.ServerEntry): session.ServerSession {
        const load: scheduling.ServerLoad = {
            id: entry.id,
            rack: entry.rack,
            labels: entry.labels,
            freeCpu: entry.cpu,
            freeMemory: entry.memory,
            freeAccelerators: entry.accelerators,
            open: false,
            penalty: 0,
            tasks: 0,
            longRunningTasks: 0,
            tasksByStep: new Map(),
        };
        const opened = new session.ServerSession(
            entry,
            load,
            this.shared.claimedAt,
            context.computeLeaseDuration(this.shared.settings),
        );
        opened.lastAnswerAt = this.shared.clock.steady();
        this.sessions.set(entry.id, opened);
        if (this.#started) {
            void this.#pollServer(opened);
        }
        return opened;
    }

    /** Updates whether the server may get new tasks. */
    #updateOpen(server: session.ServerSession): void {
        server.load.open = server.reachable && !server.unlisted && !server.entry.draining && !server.reserved
            && !server.released && !server.closed && this.shared.clock.steady() >= server.backoffUntil;
    }

    /** Updates which servers may get new tasks, and their penalties. */
    refreshLoads(): void {
        const now = this.shared.clock.steady();
        for (const server of this.sessions.values()) {
            this.#updateOpen(server);
            server.load.penalty = server.health.computePenalty(now);
        }
    }

    async #pollServer(server: session.ServerSession): Promise<void> {
        while (!this.#stopped && !server.closed) {
            if (server.entry.address !== "") {
                await this.#pollOnce(server);
            }
            else {
                await timers.setTimeout(unreachableRetryDelay);
            }
            this.#closeIfGone(server);
        }
    }

    async #pollOnce(server: session.ServerSession): Promise<void> {
        const { clock, calls, settings, epoch } = this.shared;
        const sentAt = clock.steady();
        const serverClock = server.estimateClock(sentAt);
        // An unreachable server gets no new lease, so that its runs lapse and their tasks can start elsewhere.
        const leaseEnd = serverClock === undefined || !server.reachable
            ? undefined
            : serverClock + context.computeLeaseDuration(settings);
        const unstored = server.lastProcessedEnd > server.lastStoredEnd;
        const wait = serverClock === undefined || unstored || !server.reachable
            ? 0
            : server.runs.size === 0
            ? idlePollWait
            : server.hasFillers()
            ? fillerPollWait
            : busyPollWait;
        if (leaseEnd !== undefined) {
            server.latestLeaseEnd = Math.max(server.latestLeaseEnd, leaseEnd);
        }
        const call = platform.serverCalls.createLeaseRenewalCall(server.entry.id, {
            fencingToken: epoch,
            acknowledged: server.lastStoredEnd,
            leaseEnd,
            wait,
        });
        const answer = await calls.send(server.entry.address, call, wait + context.orderTimeout);
        if (this.#stopped) {
            return;
        }
        if (answer.isErr()) {
            this.#markUnreachable(server, answer.error.reason);
            await timers.setTimeout(unreachableRetryDelay);
            return;
        }
        await this.#applyAnswer(server, platform.serverCalls.decodeLeaseRenewal(answer.value), sentAt);
    }

    async #applyAnswer(
        server: session.ServerSession,
        answer: platform.serverCalls.LeaseRenewalResult,
        sentAt: number,
    ): Promise<void> {
        if (answer.kind === "another-boot") {
            this.#handleReboot(server, undefined);
            server.reachable = false;
            this.#updateOpen(server);
            await timers.setTimeout(unreachableRetryDelay);
            return;
        }
        if (context.stepDownIfFenced(this.shared, server.entry.id, answer)) {
            return;
        }
        if (answer.kind !== "lists") {
            this.shared.log.warn("hold-refused", { server: server.entry.id, answer });
            await timers.setTimeout(unreachableRetryDelay);
            return;
        }
        if (answer.bootedAt !== server.bootedAt) {
            this.#handleReboot(server, answer.bootedAt);
        }
        const now = this.shared.clock.steady();
        server.clockSample = { server: answer.clock, received: now };
        server.lastAnswerAt = now;
        if (!server.reachable) {
            server.reachable = true;
            this.#updateOpen(server);
            this.shared.log.info("server-reached", { server: server.entry.id, service: server.entry.service });
            this.shared.schedulePass();
        }
        this.handlers.onLists(server, answer, sentAt);
        await this.#acknowledge(server);
    }

    /** Waits for the processed ends to be stored; only then does the next call acknowledge them to the server. */
    async #acknowledge(server: session.ServerSession): Promise<void> {
        if (server.lastProcessedEnd <= server.lastStoredEnd) {
            return;
        }
        const { lastProcessedEnd } = server;
        const stored = this.shared.writer.flush().then(ok => {
            if (ok) {
                server.lastStoredEnd = Math.max(server.lastStoredEnd, lastProcessedEnd);
            }
        });
        await Promise.race([stored, timers.setTimeout(unstoredRetryDelay)]);
    }

    /** Handles an answer from another boot of the server: nothing that ran before it still runs. */
    #handleReboot(server: session.ServerSession, bootedAt: number | undefined): void {
        const isFirstAnswer = server.bootedAt === undefined && server.clockSample === undefined;
        server.bootedAt = bootedAt;
        if (isFirstAnswer) {
            return;
        }
        this.shared.log.info("server-rebooted", { server: server.entry.id, bootedAt, runs: server.runs.size });
        server.lastProcessedEnd = 0;
        server.lastStoredEnd = 0;
        server.clockSample = undefined;
        server.latestLeaseEnd = 0;
        this.handlers.onGone(server, "lost");
    }

    /** Keeps the server's runs: refused and reset connections may also come from a partition. */
    #markUnreachable(server: session.ServerSession, reason: string): void {
        if (server.reachable) {
            server.reachable = false;
            this.#updateOpen(server);
            this.shared.log.warn("server-unreachable", { server: server.entry.id, reason, runs: server.runs.size });
        }
    }

    /** The platform reported that the server's machine is down, or hosts another server by now. */
    handleServerGone(id: string, evidence: string): void {
        const server = this.sessions.get(id);
        if (server !== undefined && !server.reachable && server.runs.size > 0) {
            this.shared.log.info("server-ended", { server: id, evidence, runs: server.runs.size });
            this.handlers.onGone(server, "lost");
        }
    }

    /** Ends the runs of an unreachable server after its lease expired, and closes the session if it is unlisted. */
    #closeIfGone(server: session.ServerSession): void {
        if (server.reachable) {
            return;
        }
        const now = this.shared.clock.steady();
        if (server.runs.size > 0 && now >= server.computeLeaseExpiry()) {
            this.shared.log.info("lease-lapsed", { server: server.entry.id, runs: server.runs.size });
            this.handlers.onGone(server, "lapsed");
        }
        if (server.unlisted && server.runs.size === 0) {
            server.closed = true;
            this.sessions.delete(server.entry.id);
            if (server.entry.address !== "") {
                this.shared.calls.closeConnections(server.entry.address);
            }
        }
    }
}
