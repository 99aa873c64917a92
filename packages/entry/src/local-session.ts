/**
 * The session of this process in the log: opens, renews and closes it, and tells when its newest confirmed renewal was
 * sent.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time in ms between attempts to open a session. */
const openRetryMs = 250;
/** Time limit in ms for an attempt to open a session. */
const openTimeoutMs = 5_000;

/** Fields that describe the process in the record that opens its session. */
export interface SessionDescription {
    readonly entry: string;
    readonly availabilityZone: string;
    readonly peerAddress: schema.log.Address;
    readonly operatorAddress: schema.log.Address;
}

export interface LocalSessionOptions {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordAppender;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    readonly description: SessionDescription;
    /** Called when the log shows that another entry instance closed this session. */
    onLost(): void;
}

/** Creates a session id that is unique to this start of the process. */
export function createSessionId(entry: string): string {
    return `${entry}.${crypto.randomBytes(6).toString("hex")}`;
}

export class LocalSession {
    readonly #options: LocalSessionOptions;
    #session: string;
    #isOpen = false;
    #confirmedAt: number | undefined;
    #renewal: Promise<void> | undefined;
    #timer: NodeJS.Timeout | undefined;
    #isStopped = false;

    constructor(options: LocalSessionOptions) {
        this.#options = options;
        this.#session = createSessionId(options.description.entry);
        options.view.onChange(() => this.#handleLoss());
    }

    /** Id of the session that is open or being opened. */
    get session(): string {
        return this.#session;
    }

    get isOpen(): boolean {
        return this.#isOpen;
    }

    /** Clock time in ms at which the newest confirmed opening or renewal was sent; undefined if no session is open. */
    get confirmedAt(): number | undefined {
        return this.#isOpen ? this.#confirmedAt : undefined;
    }

    /** Opens the session; retries until that succeeds or `close` is called. */
    async open(): Promise<void> {
        while (!this.#isStopped && !this.#isOpen) {
            if (!await this.#tryOpen()) {
                await new Promise(resolve => setTimeout(resolve, openRetryMs));
            }
        }
    }

    async #tryOpen(): Promise<boolean> {
        const sentAt = this.#options.clock();
        const record: schema.log.SessionOpened = {
            ...records.createHeader(this.#session),
            kind: "session-opened",
            session: this.#session,
            ...this.#options.description,
        };
        const result = await this.#options.view.propose(this.#options.stream, record, sentAt + openTimeoutMs);
        const isRecorded = this.#options.view.state.sessions.has(this.#session);
        if (result.isErr() && !isRecorded) {
            this.#options.metrics.count("session_events", "open-failed");
            return false;
        }
        this.#confirmedAt = sentAt;
        this.#isOpen = isRecorded;
        this.#options.metrics.count("session_events", "opened");
        this.#options.logger.info(`Session ${this.#session} is open.`);
        this.#timer = setInterval(() => void this.renew(), this.#options.times.renewMs);
        return true;
    }

    /** Renews the session, unless a renewal is in progress. */
    renew(): Promise<void> {
        this.#renewal ??= this.#appendRenewal().finally(() => this.#renewal = undefined);
        return this.#renewal;
    }

    async #appendRenewal(): Promise<void> {
        const session = this.#session;
        const sentAt = this.#options.clock();
        const state = this.#options.view.state;
        const record: schema.log.SessionRenewed = {
            ...records.createHeader(session),
            kind: "session-renewed",
            session,
            appliedOffset: state.nextOffset,
            configurationVersion: state.configuration?.version ?? 0,
        };
        const result = await this.#options.view.propose(
            this.#options.stream,
            record,
            sentAt + this.#options.times.fenceMs,
        );
        if (result.isErr()) {
            this.#options.metrics.count("session_events", `renewal-${result.error.fault}`);
            return;
        }
        if (result.value.verdict.applied && session === this.#session) {
            this.#confirmedAt = sentAt;
        }
    }

    #handleLoss(): void {
        if (!this.#isOpen || this.#options.view.state.sessions.has(this.#session)) {
            return;
        }
        this.#markClosed();
        if (this.#isStopped) {
            return;
        }
        this.#options.metrics.count("session_events", "lost");
        this.#options.logger.warn(`Session ${this.#session} was closed by another entry instance; opening a new one.`);
        this.#session = createSessionId(this.#options.description.entry);
        this.#options.onLost();
    }

    #markClosed(): void {
        this.#isOpen = false;
        this.#confirmedAt = undefined;
        clearInterval(this.#timer);
    }

    /** Closes the session through the log, so that the instances homed there get new homes at once. */
    async close(timeoutMs: number): Promise<void> {
        this.#isStopped = true;
        clearInterval(this.#timer);
        await this.#renewal;
        const state = this.#options.view.state.sessions.get(this.#session);
        if (state !== undefined) {
            await this.#appendClosed(state, timeoutMs);
        }
        this.#markClosed();
    }

    async #appendClosed(state: fleetState.SessionState, timeoutMs: number): Promise<void> {
        const record: schema.log.SessionClosed = {
            ...records.createHeader(this.#session),
            kind: "session-closed",
            session: this.#session,
            observedRenewal: state.renewalOffset,
            reason: "goodbye",
        };
        const result = await this.#options.view.propose(
            this.#options.stream,
            record,
            this.#options.clock() + timeoutMs,
        );
        if (result.isErr()) {
            this.#options.logger.warn(`The closing of the session was not confirmed: ${result.error.reason}.`);
        }
    }
}
