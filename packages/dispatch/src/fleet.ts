/**
 * The backend servers: who is listed, what runs there, and the loop that renews each one's lease and takes in its ends.
 */
import type * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import type * as scheduling from "@catkinwharf/scheduling";
import * as timers from "node:timers/promises";
import * as context from "./context.js";
import * as session from "./server-session.js";

/** What a server told, for whoever keeps the runs. */
export interface FleetHandlers {
    readonly onLists: (
        server: session.ServerSession,
        lists: Extract<platform.serverCalls.HoldAnswer, { readonly kind: "lists"; }>,
        sentAt: number,
    ) => void;
    /** What ran there is gone for certain. */
    readonly onGone: (server: session.ServerSession, how: jobState.RunEnd) => void;
}

/** Time in ms for which a server with runs may keep an answer back while it has nothing to tell. */
const busyWait = 1000;
/** The same for a server with fillers, whose neighbours' response times are watched. */
const pacedWait = 400;
/** The same for a server without runs. */
const idleWait = 2000;
/** Time in ms between two calls to a server that doesn't answer. */
const unreachableDelay = 250;
/** Time in ms between two calls while ends can't be stored: they would be answered at once. */
const unstoredDelay = 400;

export class Fleet {
    readonly sessions = new Map<string, session.ServerSession>();
    #stopped = false;
    #begun = false;

    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly handlers: FleetHandlers,
    ) {}

    stop(): void {
        this.#stopped = true;
    }

    /** Begins to call the servers. Runs of earlier coordinators have to be known by then, lest they be taken for strays. */
    begin(): void {
        this.#begun = true;
        for (const server of this.sessions.values()) {
            void this.#hold(server);
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
        this.shared.wake();
    }

    /** All servers were forgotten by the store's reader: those that aren't listed again are gone. */
    markAllUnlisted(): void {
        for (const known of this.sessions.values()) {
            known.unlisted = true;
        }
    }

    /** A server that an earlier coordinator used and that isn't listed. */
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
            perStep: new Map(),
        };
        const opened = new session.ServerSession(
            entry,
            load,
            this.shared.claimedAt,
            context.findLeaseTime(this.shared.settings),
        );
        opened.lastAnswer = this.shared.clock.steady();
        this.sessions.set(entry.id, opened);
        if (this.#begun) {
            void this.#hold(opened);
        }
        return opened;
    }

    /** Decides whether a server may get new tasks. */
    #updateOpen(server: session.ServerSession): void {
        server.load.open = server.reachable && !server.unlisted && !server.entry.draining && !server.reserved
            && !server.released && !server.closed && this.shared.clock.steady() >= server.restUntil;
    }

    refreshOpen(): void {
        const now = this.shared.clock.steady();
        for (const server of this.sessions.values()) {
            this.#updateOpen(server);
            server.load.penalty = server.health.measurePenalty(now);
        }
    }

    async #hold(server: session.ServerSession): Promise<void> {
        while (!this.#stopped && !server.closed) {
            if (server.entry.address !== "") {
                await this.#holdOnce(server);
            }
            else {
                await timers.setTimeout(unreachableDelay);
            }
            this.#closeWhenOver(server);
        }
    }

    async #holdOnce(server: session.ServerSession): Promise<void> {
        const { clock, calls, settings, epoch } = this.shared;
        const sentAt = clock.steady();
        const serverClock = server.readClock(sentAt);
        // A server out of reach gets no new lease: what runs there has to lapse some time, to be started elsewhere.
        const leaseEnd = serverClock === undefined || !server.reachable
            ? undefined
            : serverClock + context.findLeaseTime(settings);
        const unstored = server.takenIn > server.acknowledged;
        const wait = serverClock === undefined || unstored || !server.reachable
            ? 0
            : server.runs.size === 0
            ? idleWait
            : server.hasFillers()
            ? pacedWait
            : busyWait;
        if (leaseEnd !== undefined) {
            server.leaseEndSent = Math.max(server.leaseEndSent, leaseEnd);
        }
        const call = platform.serverCalls.createHold(server.entry.id, {
            fencingToken: epoch,
            acknowledged: server.acknowledged,
            leaseEnd,
            wait,
        });
        const answer = await calls.send(server.entry.address, call, wait + context.orderTimeout);
        if (this.#stopped) {
            return;
        }
        if (answer.isErr()) {
            this.#noteUnreachable(server, answer.error.reason);
            await timers.setTimeout(unreachableDelay);
            return;
        }
        await this.#takeIn(server, platform.serverCalls.decodeHold(answer.value), sentAt);
    }

    async #takeIn(
        server: session.ServerSession,
        answer: platform.serverCalls.HoldAnswer,
        sentAt: number,
    ): Promise<void> {
        if (answer.kind === "another-boot") {
            this.#noteNewBoot(server, undefined);
            server.reachable = false;
            this.#updateOpen(server);
            await timers.setTimeout(unreachableDelay);
            return;
        }
        if (context.stepDownIfFenced(this.shared, server.entry.id, answer)) {
            return;
        }
        if (answer.kind !== "lists") {
            this.shared.log.warn("hold-refused", { server: server.entry.id, answer });
            await timers.setTimeout(unreachableDelay);
            return;
        }
        if (answer.bootedAt !== server.bootedAt) {
            this.#noteNewBoot(server, answer.bootedAt);
        }
        const now = this.shared.clock.steady();
        server.clockSample = { server: answer.clock, received: now };
        server.lastAnswer = now;
        if (!server.reachable) {
            server.reachable = true;
            this.#updateOpen(server);
            this.shared.log.info("server-reached", { server: server.entry.id, service: server.entry.service });
            this.shared.wake();
        }
        this.handlers.onLists(server, answer, sentAt);
        await this.#acknowledge(server);
    }

    /** Waits until what was taken in is stored; then the server may forget it. */
    async #acknowledge(server: session.ServerSession): Promise<void> {
        if (server.takenIn <= server.acknowledged) {
            return;
        }
        const { takenIn } = server;
        const stored = this.shared.writer.flush().then(ok => {
            if (ok) {
                server.acknowledged = Math.max(server.acknowledged, takenIn);
            }
        });
        await Promise.race([stored, timers.setTimeout(unstoredDelay)]);
    }

    /** Another boot than the one that was known answers: nothing that ran before is there. */
    #noteNewBoot(server: session.ServerSession, bootedAt: number | undefined): void {
        const first = server.bootedAt === undefined && server.clockSample === undefined;
        server.bootedAt = bootedAt;
        if (first) {
            return;
        }
        this.shared.log.info("server-rebooted", { server: server.entry.id, bootedAt, runs: server.runs.size });
        server.takenIn = 0;
        server.acknowledged = 0;
        server.clockSample = undefined;
        server.leaseEndSent = 0;
        this.handlers.onGone(server, "lost");
    }

    /** Nothing is concluded on what runs there: a partition can refuse and reset connections too. */
    #noteUnreachable(server: session.ServerSession, reason: string): void {
        if (server.reachable) {
            server.reachable = false;
            this.#updateOpen(server);
            this.shared.log.warn("server-unreachable", { server: server.entry.id, reason, runs: server.runs.size });
        }
    }

    /** The platform says that another life has begun on the server's machine, or that the machine is out. */
    noteEnded(id: string, evidence: string): void {
        const server = this.sessions.get(id);
        if (server !== undefined && !server.reachable && server.runs.size > 0) {
            this.shared.log.info("server-ended", { server: id, evidence, runs: server.runs.size });
            this.handlers.onGone(server, "lost");
        }
    }

    /** Ends the session of a server that is gone, once nothing can run there any more. */
    #closeWhenOver(server: session.ServerSession): void {
        if (server.reachable) {
            return;
        }
        const now = this.shared.clock.steady();
        if (server.runs.size > 0 && now >= server.findLapse()) {
            this.shared.log.info("lease-lapsed", { server: server.entry.id, runs: server.runs.size });
            this.handlers.onGone(server, "lapsed");
        }
        if (server.unlisted && server.runs.size === 0) {
            server.closed = true;
            this.sessions.delete(server.entry.id);
            if (server.entry.address !== "") {
                this.shared.calls.forget(server.entry.address);
            }
        }
    }
}
