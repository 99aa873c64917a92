/**
 * Client side of the connection to one peer. Redials with backoff whenever the connection ends, until it is closed.
 */
import * as errors from "@catkinwharf/errors";
import type * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as counters from "./counters.js";
import * as dialedConnection from "./dialed-connection.js";
import type * as messages from "./messages.js";
import * as pendingRequests from "./pending-requests.js";

/** State of a link. */
export const LinkState = {
    connected: "connected",
    /** The first dial has not ended, or an established connection was closed and the redial has not ended. */
    connecting: "connecting",
    /** The last dial was refused: the host is up, but no process listens on the port. */
    refused: "refused",
    /** The last dial or handshake failed or timed out, or the peer stopped answering heartbeats. */
    unreachable: "unreachable",
    /** A process that knows the key answered with another session, so the expected process is gone. */
    strange: "strange",
    closed: "closed",
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

export interface PeerLinkOptions
    extends Omit<dialedConnection.DialOptions, "onReady" | "onDisconnect" | "onAnomaly" | "onBytes">
{
    readonly counters: counters.PeerCounters;
    readonly logger: logger.Logger;
}

/** State of the link after its connection ended, by reason. */
const stateByDisconnectReason: Readonly<Record<dialedConnection.DisconnectReason, LinkState>> = {
    refused: LinkState.refused,
    unreachable: LinkState.unreachable,
    strange: LinkState.strange,
    silent: LinkState.unreachable,
    lost: LinkState.connecting,
};

/** Fault of a request that can't be sent, by state of the link. */
const faultByState: Readonly<Record<LinkState, errors.PeerFault>> = {
    connected: errors.PeerFault.unreachable,
    connecting: errors.PeerFault.unreachable,
    refused: errors.PeerFault.connectionRefused,
    unreachable: errors.PeerFault.unreachable,
    strange: errors.PeerFault.strange,
    closed: errors.PeerFault.unreachable,
};

/**
 * Link to one session of one entry instance.
 *
 * Errors of its requests: `unreachable`, `connection-refused` and `strange` mean that no byte was written to a socket;
 * `lost` and `timed-out` mean that the peer may have run the request.
 */
export class PeerLink {
    private currentState: LinkState = LinkState.connecting;
    private connection: dialedConnection.DialedConnection | undefined;
    private lastAckedHeartbeatAt: number | undefined;
    private consecutiveFailures = 0;
    private redialTimer: NodeJS.Timeout | undefined;

    constructor(private readonly options: PeerLinkOptions) {
        this.dial();
    }

    get state(): LinkState {
        return this.currentState;
    }

    /** Clock time (ms) at which the newest answered heartbeat was sent; undefined before the first answer. */
    get lastAliveAt(): number | undefined {
        return this.lastAckedHeartbeatAt;
    }

    /** Dispatches a request to the peer. Aborting asks the peer to cancel it; the outcome still tells what happened. */
    dispatch(
        request: Omit<schema.peer.Dispatch, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<pendingRequests.ResponseOutcome<"dispatch">> {
        if (signal?.aborted === true) {
            return Promise.resolve(
                pendingRequests.createError(errors.PeerFault.unreachable, "cancelled before it was sent"),
            );
        }
        return this.sendRequest("dispatch", request, timeoutMs, signal);
    }

    /** Queries the state of an idempotency key. */
    queryKey(
        request: Omit<schema.peer.KeyQuery, "kind" | "exchange">,
        timeoutMs: number,
    ): Promise<pendingRequests.ResponseOutcome<"key-query">> {
        return this.sendRequest("key-query", request, timeoutMs);
    }

    /** Queries records of the log. */
    queryRecords(
        request: Omit<schema.peer.RecordsQuery, "kind" | "exchange">,
        timeoutMs: number,
    ): Promise<pendingRequests.ResponseOutcome<"records-query">> {
        return this.sendRequest("records-query", request, timeoutMs);
    }

    /** Tells a connected peer that this process leaves; resolves when the message is handed to the operating system. */
    async sendGoodbye(): Promise<void> {
        if (this.currentState === LinkState.connected) {
            await this.connection?.sendGoodbye();
        }
    }

    /** Closes the connection and stops redialing. */
    close(): void {
        this.currentState = LinkState.closed;
        clearTimeout(this.redialTimer);
        this.connection?.close();
    }

    private async sendRequest<Kind extends pendingRequests.RequestKind>(
        kind: Kind,
        content: Omit<messages.MessageOf<Kind>, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<pendingRequests.ResponseOutcome<Kind>> {
        const outcome = this.connection === undefined || this.currentState !== LinkState.connected
            ? pendingRequests.createError(faultByState[this.currentState], `the link is ${this.currentState}`)
            : await this.connection.sendRequest(kind, content, timeoutMs, signal);
        if (outcome.isErr()) {
            this.options.counters.count(counters.CounterName.requestFailed, outcome.error.fault);
        }
        return outcome;
    }

    private dial(): void {
        this.connection = new dialedConnection.DialedConnection({
            ...this.options,
            makeHeartbeat: () => this.options.makeHeartbeat(),
            onHeartbeatAnswer: (answer, sentAt, receivedAt) => this.handleHeartbeatAnswer(answer, sentAt, receivedAt),
            onReady: () => this.currentState = LinkState.connected,
            onDisconnect: (reason, detail) => this.handleDisconnect(reason, detail),
            onAnomaly: reason => this.options.counters.count(counters.CounterName.linkFailed, reason),
            onBytes: (direction, bytes) => this.options.counters.addBytes?.(direction, bytes),
        });
    }

    private handleHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void {
        this.consecutiveFailures = 0;
        this.lastAckedHeartbeatAt = sentAt;
        this.options.onHeartbeatAnswer(answer, sentAt, receivedAt);
    }

    private handleDisconnect(reason: dialedConnection.DisconnectReason, detail: string): void {
        this.connection = undefined;
        if (this.currentState === LinkState.closed) {
            return;
        }
        const state = stateByDisconnectReason[reason];
        this.options.counters.count(counters.CounterName.linkFailed, reason);
        if (state !== this.currentState) {
            const { address, expected } = this.options;
            this.options.logger.warn(
                `link to ${expected?.entry ?? `${address.host}:${address.port}`} failed: ${reason}, ${detail}`,
            );
        }
        this.currentState = state;
        this.consecutiveFailures += 1;
        const delayMs = types.computeBackoff(this.consecutiveFailures, Math.random());
        this.redialTimer = setTimeout(() => this.dial(), delayMs);
    }
}
