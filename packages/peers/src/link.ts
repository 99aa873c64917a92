/**
 * The asking side towards one peer. Dials again with backoff whenever its connection ends, until it is closed.
 */
import * as errors from "@catkinwharf/errors";
import type * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as counters from "./counters.js";
import * as dialedConnection from "./dialed-connection.js";
import type * as messages from "./messages.js";
import * as questions from "./questions.js";

/** State of a link. */
export const LinkState = {
    connected: "connected",
    /** No attempt has ended yet, or a connection that stood was closed and its redial hasn't ended. */
    connecting: "connecting",
    /** The last dial was refused: the host is alive, the process is gone. */
    refused: "refused",
    /** The last dial or connection got no answer in time. */
    unreachable: "unreachable",
    /** Another session, which knows the key, answered: the expected process is gone. */
    strange: "strange",
    closed: "closed",
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

export interface PeerLinkOptions
    extends Omit<dialedConnection.DialOptions, "onReady" | "onEnd" | "onOddity" | "onBytes">
{
    readonly counters: counters.PeerCounters;
    readonly logger: logger.Logger;
}

/** The state that each end of a connection leaves. */
const stateAfter: Readonly<Record<dialedConnection.ConnectionEnd, LinkState>> = {
    refused: LinkState.refused,
    unreachable: LinkState.unreachable,
    strange: LinkState.strange,
    silent: LinkState.unreachable,
    lost: LinkState.connecting,
};

/** The fault of a question that can't be sent in each state. */
const faultIn: Readonly<Record<LinkState, errors.PeerFault>> = {
    connected: errors.PeerFault.unreachable,
    connecting: errors.PeerFault.unreachable,
    refused: errors.PeerFault.connectionRefused,
    unreachable: errors.PeerFault.unreachable,
    strange: errors.PeerFault.strange,
    closed: errors.PeerFault.unreachable,
};

/**
 * A link to one session of one entry instance.
 *
 * Errors of its questions: `unreachable`, `connection-refused` and `strange` say that no byte was given to a socket;
 * `lost` and `timed-out` say that the question may have been carried out.
 */
export class PeerLink {
    private currentState: LinkState = LinkState.connecting;
    private connection: dialedConnection.DialedConnection | undefined;
    private answeredAt: number | undefined;
    private failures = 0;
    private redialTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: PeerLinkOptions) {
        this.dial();
    }

    get state(): LinkState {
        return this.currentState;
    }

    /** Clock time (ms) at which the newest answered heartbeat was sent; undefined before the first answer. */
    get lastAnsweredAt(): number | undefined {
        return this.answeredAt;
    }

    /** Asks the peer to run a request. An abort asks it to cancel; the outcome still tells what became of it. */
    dispatch(
        question: Omit<schema.peer.Dispatch, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<questions.AnswerOutcome<"dispatch">> {
        if (signal?.aborted === true) {
            return Promise.resolve(questions.createError(errors.PeerFault.unreachable, "cancelled before it was sent"));
        }
        return this.ask("dispatch", question, timeoutMs, signal);
    }

    /** Asks what became of a key. */
    queryKey(
        question: Omit<schema.peer.KeyQuery, "kind" | "exchange">,
        timeoutMs: number,
    ): Promise<questions.AnswerOutcome<"key-query">> {
        return this.ask("key-query", question, timeoutMs);
    }

    /** Asks for records of the log. */
    queryRecords(
        question: Omit<schema.peer.RecordsQuery, "kind" | "exchange">,
        timeoutMs: number,
    ): Promise<questions.AnswerOutcome<"records-query">> {
        return this.ask("records-query", question, timeoutMs);
    }

    /** Tells a connected peer that this process leaves; resolves when the message was given to the system. */
    async sayGoodbye(): Promise<void> {
        if (this.currentState === LinkState.connected) {
            await this.connection?.sayGoodbye();
        }
    }

    /** Ends the connection and stops dialling. */
    close(): void {
        this.currentState = LinkState.closed;
        clearTimeout(this.redialTimer);
        this.connection?.close();
    }

    private async ask<Kind extends questions.QuestionKind>(
        kind: Kind,
        content: Omit<messages.MessageOf<Kind>, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<questions.AnswerOutcome<Kind>> {
        const outcome = this.connection === undefined || this.currentState !== LinkState.connected
            ? questions.createError(faultIn[this.currentState], `the link is ${this.currentState}`)
            : await this.connection.ask(kind, content, timeoutMs, signal);
        if (outcome.isErr()) {
            this.options.counters.count(counters.CounterName.questionFailed, outcome.error.fault);
        }
        return outcome;
    }

    private dial(): void {
        this.connection = new dialedConnection.DialedConnection({
            ...this.options,
            makeHeartbeat: () => this.options.makeHeartbeat(),
            onHeartbeatAnswer: (answer, sentAt, receivedAt) => this.takeHeartbeatAnswer(answer, sentAt, receivedAt),
            onReady: () => this.currentState = LinkState.connected,
            onEnd: (end, detail) => this.takeEnd(end, detail),
            onOddity: reason => this.options.counters.count(counters.CounterName.linkFailed, reason),
            onBytes: (direction, bytes) => this.options.counters.addBytes?.(direction, bytes),
        });
    }

    private takeHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void {
        this.failures = 0;
        this.answeredAt = sentAt;
        this.options.onHeartbeatAnswer(answer, sentAt, receivedAt);
    }

    private takeEnd(end: dialedConnection.ConnectionEnd, detail: string): void {
        this.connection = undefined;
        if (this.currentState === LinkState.closed) {
            return;
        }
        const state = stateAfter[end];
        this.options.counters.count(counters.CounterName.linkFailed, end);
        if (state !== this.currentState) {
            const { address, expected } = this.options;
            this.options.logger.warn(
                `link to ${expected?.entry ?? `${address.host}:${address.port}`}: ${end}, ${detail}`,
            );
        }
        this.currentState = state;
        this.failures += 1;
        const delayMs = types.computeBackoff(this.failures, Math.random());
        this.redialTimer = setTimeout(() => this.dial(), delayMs);
    }
}
