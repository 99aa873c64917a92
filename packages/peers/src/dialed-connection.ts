/**
 * The dialing side of one connection: handshake, heartbeats and requests.
 */
import type * as errors from "@catkinwharf/errors";
import type * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as net from "node:net";
import * as channel from "./channel.js";
import type * as counters from "./counters.js";
import * as handshake from "./handshake.js";
import type * as limits from "./limits.js";
import * as liveness from "./liveness.js";
import type * as messages from "./messages.js";
import * as pendingRequests from "./pending-requests.js";

/** Why a connection ended. */
export const DisconnectReason = {
    /** The host refused the connection: no process listens on the port. */
    refused: "refused",
    /** No connection was established, the handshake timed out, or the peer failed to prove that it knows the key. */
    unreachable: "unreachable",
    /** A process that knows the key answered, but with another session than the expected one. */
    strange: "strange",
    /** The peer stopped answering heartbeats. */
    silent: "silent",
    /** The established connection was closed. */
    lost: "lost",
} as const;
export type DisconnectReason = (typeof DisconnectReason)[keyof typeof DisconnectReason];

/** Content of a heartbeat, without the message's kind and exchange number. */
export type HeartbeatContent = Omit<schema.peer.Heartbeat, "kind" | "exchange">;

export interface DialOptions {
    readonly address: schema.log.Address;
    /** Expected peer, of which only the session is compared. Undefined accepts any process that knows the key. */
    readonly expected: handshake.PeerIdentity | undefined;
    readonly identity: handshake.PeerIdentity;
    /** Key shared by all entry instances. */
    readonly peerKey: string;
    readonly limits: limits.PeerLimits;
    /** Monotonic clock, in ms. */
    readonly clock: () => number;
    /** Source IP address. */
    readonly localAddress?: string;
    makeHeartbeat(): HeartbeatContent;
    /** @param sentAt clock time (ms) at which the answered heartbeat was sent */
    onHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void;
    /** The handshake is complete. */
    onReady(): void;
    /** The connection has ended. Called once. */
    onDisconnect(reason: DisconnectReason, detail: string): void;
    /** Called for each response without a pending request, and when this side closes the connection due to a fault. */
    onAnomaly(reason: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
}

type KindHandlers = {
    readonly [Kind in messages.MessageKind]?: (message: messages.MessageOf<Kind>) => void;
};

/** A connection to a peer. It dials when it is created and ends with its socket. */
export class DialedConnection {
    private readonly channel: channel.Channel;
    private readonly pendingRequests = new pendingRequests.PendingRequests();
    private readonly heartbeatsSentAt = new Map<number, number>();
    private readonly handshakeTimer: NodeJS.Timeout;
    private heartbeatTimer: NodeJS.Timeout | undefined;
    private nextExchange = 1;
    private liveness: liveness.Liveness;
    private handlers: KindHandlers;
    private disconnectReason: DisconnectReason = DisconnectReason.unreachable;

    constructor(private readonly options: DialOptions) {
        const { address, limits: bounds, localAddress } = options;
        this.liveness = liveness.startLiveness(options.clock());
        this.handlers = { challenge: message => this.handleChallenge(message) };
        const socket = net.connect({ host: address.host, port: address.port, localAddress });
        socket.on("error", (error: NodeJS.ErrnoException) => this.handleSocketError(error));
        this.channel = new channel.Channel(socket, bounds.maxFrameBytes, {
            onMessage: message => this.handleMessage(message),
            onFault: reason => options.onAnomaly(reason),
            onBytes: (direction, bytes) => options.onBytes(direction, bytes),
            onClosed: detail => this.handleClose(detail),
        });
        this.handshakeTimer = setTimeout(
            () => this.channel.fail(channel.CloseReason.handshakeTimeout, `not complete within ${bounds.timeoutMs} ms`),
            bounds.timeoutMs,
        );
    }

    /** Sends a request. The error `unreachable` means that none of its bytes were written to the socket. */
    sendRequest<Kind extends pendingRequests.RequestKind>(
        kind: Kind,
        content: Omit<messages.MessageOf<Kind>, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<pendingRequests.ResponseOutcome<Kind>> {
        const exchange = this.allocateExchange();
        const sent = this.channel.send({ ...content, kind, exchange } as unknown as messages.MessageOf<Kind>);
        if (sent.isErr()) {
            return Promise.resolve(pendingRequests.createError("unreachable", sent.error));
        }
        const response = this.pendingRequests.add(exchange, kind, timeoutMs);
        if (signal === undefined) {
            return response;
        }
        const cancel = () => this.channel.send({ kind: "dispatch-cancel", exchange }, Number.POSITIVE_INFINITY);
        signal.addEventListener("abort", cancel, { once: true });
        return response.finally(() => signal.removeEventListener("abort", cancel));
    }

    /** Tells the peer that this process leaves; resolves when the message was handed to the operating system. */
    sendGoodbye(): Promise<neverthrow.Result<void, errors.PeerError>> {
        return new Promise(resolve => {
            const goodbye = { kind: "goodbye", session: this.options.identity.session } as const;
            const sent = this.channel.send(goodbye, Number.POSITIVE_INFINITY, () => resolve(neverthrow.ok()));
            if (sent.isErr()) {
                resolve(pendingRequests.createError("unreachable", sent.error));
            }
        });
    }

    /** Closes the connection immediately; pending requests fail as `lost`. */
    close(): void {
        this.channel.destroy("closed by this side");
    }

    private handleMessage(message: schema.peer.PeerMessage): void {
        const handle = this.handlers[message.kind] as ((message: schema.peer.PeerMessage) => void) | undefined;
        if (handle === undefined) {
            this.channel.fail(channel.CloseReason.unexpectedKind, message.kind);
            return;
        }
        handle(message);
    }

    private handleChallenge(challenge: schema.peer.Challenge): void {
        const nonces = { challenge: challenge.nonce, hello: handshake.createNonce() };
        const hello = handshake.createHello(this.options.identity, nonces, this.options.peerKey);
        this.handlers = { welcome: message => this.handleWelcome(message, hello, challenge.nonce) };
        this.channel.send(hello);
    }

    private handleWelcome(welcome: schema.peer.Welcome, hello: schema.peer.Hello, challenge: string): void {
        if (!handshake.verifyWelcome(welcome, hello, challenge, this.options.peerKey)) {
            this.channel.fail(channel.CloseReason.wrongKey, "the MAC of the welcome is invalid");
            return;
        }
        const { expected } = this.options;
        if (expected !== undefined && welcome.session !== expected.session) {
            this.disconnectReason = DisconnectReason.strange;
            this.channel.fail(channel.CloseReason.wrongSession, `unexpected session ${welcome.session}`);
            return;
        }
        this.completeHandshake();
    }

    private completeHandshake(): void {
        clearTimeout(this.handshakeTimer);
        this.disconnectReason = DisconnectReason.lost;
        this.channel.raiseFrameLimit();
        this.liveness = liveness.startLiveness(this.options.clock());
        this.handlers = {
            "heartbeat-answer": message => this.handleHeartbeatAnswer(message),
            "dispatch-answer": message => this.handleResponse(message),
            "key-answer": message => this.handleResponse(message),
            "records-answer": message => this.handleResponse(message),
        };
        this.heartbeatTimer = setInterval(() => this.checkLiveness(), this.options.limits.heartbeatMs);
        this.options.onReady();
        this.sendHeartbeat();
    }

    private checkLiveness(): void {
        const { clock, limits: bounds } = this.options;
        this.liveness = liveness.updateLiveness(this.liveness, clock(), bounds.timeoutMs);
        if (liveness.isTimedOut(this.liveness)) {
            this.disconnectReason = DisconnectReason.silent;
            this.channel.fail(channel.CloseReason.silent, `no heartbeat answer for ${bounds.timeoutMs} ms`);
            return;
        }
        this.sendHeartbeat();
    }

    private sendHeartbeat(): void {
        const exchange = this.allocateExchange();
        const sentAt = this.options.clock();
        const heartbeat = { ...this.options.makeHeartbeat(), kind: "heartbeat", exchange } as const;
        const sent = this.channel.send(heartbeat, Number.POSITIVE_INFINITY);
        if (sent.isOk()) {
            this.heartbeatsSentAt.set(exchange, sentAt);
        }
    }

    private handleHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer): void {
        const sentAt = this.heartbeatsSentAt.get(answer.exchange);
        if (sentAt === undefined) {
            this.options.onAnomaly("heartbeat-answer-unmatched");
            return;
        }
        const answered = [...this.heartbeatsSentAt.keys()].filter(exchange => exchange <= answer.exchange);
        answered.forEach(exchange => this.heartbeatsSentAt.delete(exchange));
        this.liveness = liveness.confirmLiveness(this.liveness, sentAt);
        this.options.onHeartbeatAnswer(answer, sentAt, this.options.clock());
    }

    private handleResponse(response: messages.MessageOf<"dispatch-answer" | "key-answer" | "records-answer">): void {
        const match = this.pendingRequests.handleResponse(response);
        if (match === pendingRequests.ResponseMatch.late) {
            this.options.onAnomaly("late-answer");
        }
        if (match === pendingRequests.ResponseMatch.wrongKind) {
            this.channel.fail(channel.CloseReason.unexpectedKind, response.kind);
        }
    }

    private handleSocketError(error: NodeJS.ErrnoException): void {
        if (error.code === "ECONNREFUSED" && error.syscall === "connect") {
            this.disconnectReason = DisconnectReason.refused;
        }
    }

    private handleClose(detail: string): void {
        clearTimeout(this.handshakeTimer);
        clearInterval(this.heartbeatTimer);
        this.pendingRequests.failAll(detail);
        this.options.onDisconnect(this.disconnectReason, detail);
    }

    private allocateExchange(): number {
        const exchange = this.nextExchange;
        this.nextExchange += 1;
        return exchange;
    }
}
