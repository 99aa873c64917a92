/**
 * Opens this process's session in the log, renews it, and knows until when it may dispatch.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time in ms between tries to open a session. */
const openRetryMs = 250;
/** Time in ms that one try to open may take. */
const openTimeoutMs = 5_000;

/** What a session says about itself when it opens. */
export interface SessionDescription {
    readonly entry: string;
    readonly availabilityZone: string;
    readonly peerAddress: schema.log.Address;
    readonly operatorAddress: schema.log.Address;
}

export interface SessionParts {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordStream;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly description: SessionDescription;
    /** Called when the log shows that another closed this session. */
    onLost(): void;
}

/** Creates a session id that no other process start has. */
export function createSessionId(entry: string): string {
    return `${entry}.${crypto.randomBytes(6).toString("hex")}`;
}

export class SessionKeeper {
    readonly #parts: SessionParts;
    #session: string;
    #isOpen = false;
    #confirmedAt: number | undefined;
    #renewal: Promise<void> | undefined;
    #timer: NodeJS.Timeout | undefined;
    #stopped = false;

    constructor(parts: SessionParts) {
        this.#parts = parts;
        this.#session = createSessionId(parts.description.entry);
        parts.view.listen(() => this.#noticeLoss());
    }

    /** Id of the session that is open or will be opened. */
    get session(): string {
        return this.#session;
    }

    get isOpen(): boolean {
        return this.#isOpen;
    }

    /** Clock time in ms at which the newest confirmed renewal or opening was sent. */
    get confirmedAt(): number | undefined {
        return this.#isOpen ? this.#confirmedAt : undefined;
    }

    /** Opens the session, trying until it succeeds or the keeper is stopped. */
    async open(): Promise<void> {
        while (!this.#stopped && !this.#isOpen) {
            if (!await this.#tryOpen()) {
                await new Promise(resolve => setTimeout(resolve, openRetryMs));
            }
        }
    }

    async #tryOpen(): Promise<boolean> {
        const sentAt = this.#parts.clock();
        const record: schema.log.SessionOpened = {
            ...records.createHeader(this.#session),
            kind: "session-opened",
            session: this.#session,
            ...this.#parts.description,
        };
        const settled = await this.#parts.view.propose(this.#parts.stream, record, sentAt + openTimeoutMs);
        const isMine = this.#parts.view.state.sessions.has(this.#session);
        if (settled.isErr() && !isMine) {
            this.#parts.metrics.count("session_events", "open-failed");
            return false;
        }
        this.#confirmedAt = sentAt;
        this.#isOpen = isMine;
        this.#parts.metrics.count("session_events", "opened");
        this.#parts.logger.info(`Session ${this.#session} is open.`);
        this.#timer = setInterval(() => void this.renew(), this.#parts.times.renewMs);
        return true;
    }

    /** Renews the session, unless a renewal is still on its way. */
    renew(): Promise<void> {
        this.#renewal ??= this.#sendRenewal().finally(() => this.#renewal = undefined);
        return this.#renewal;
    }

    async #sendRenewal(): Promise<void> {
        const session = this.#session;
        const sentAt = this.#parts.clock();
        const state = this.#parts.view.state;
        const record: schema.log.SessionRenewed = {
            ...records.createHeader(session),
            kind: "session-renewed",
            session,
            appliedOffset: state.nextOffset,
            configurationVersion: state.configuration?.version ?? 0,
        };
        const settled = await this.#parts.view.propose(this.#parts.stream, record, sentAt + this.#parts.times.fenceMs);
        if (settled.isErr()) {
            this.#parts.metrics.count("session_events", `renewal-${settled.error.fault}`);
            return;
        }
        if (settled.value.verdict.applied && session === this.#session) {
            this.#confirmedAt = sentAt;
        }
    }

    #noticeLoss(): void {
        if (!this.#isOpen || this.#parts.view.state.sessions.has(this.#session)) {
            return;
        }
        this.#end();
        if (this.#stopped) {
            return;
        }
        this.#parts.metrics.count("session_events", "lost");
        this.#parts.logger.warn(`Session ${this.#session} was closed by another; a new one opens.`);
        this.#session = createSessionId(this.#parts.description.entry);
        this.#parts.onLost();
    }

    #end(): void {
        this.#isOpen = false;
        this.#confirmedAt = undefined;
        clearInterval(this.#timer);
    }

    /** Closes the session in order; its homes pass on at once. */
    async close(timeoutMs: number): Promise<void> {
        this.#stopped = true;
        clearInterval(this.#timer);
        await this.#renewal;
        const state = this.#parts.view.state.sessions.get(this.#session);
        if (state !== undefined) {
            await this.#sendGoodbye(state, timeoutMs);
        }
        this.#end();
    }

    async #sendGoodbye(state: fleetState.SessionState, timeoutMs: number): Promise<void> {
        const record: schema.log.SessionClosed = {
            ...records.createHeader(this.#session),
            kind: "session-closed",
            session: this.#session,
            observedRenewal: state.renewalOffset,
            reason: "goodbye",
        };
        const settled = await this.#parts.view.propose(
            this.#parts.stream,
            record,
            this.#parts.clock() + timeoutMs,
        );
        if (settled.isErr()) {
            this.#parts.logger.warn(`The goodbye was not confirmed: ${settled.error.reason}.`);
        }
    }
}
