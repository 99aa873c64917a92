/**
 * The accepting side of one connection: authenticates the peer, then responds to its requests.
 */
import * as errors from "@catkinwharf/errors";
import type * as schema from "@catkinwharf/schema";
import type * as net from "node:net";
import * as channel from "./channel.js";
import type * as counters from "./counters.js";
import * as handshake from "./handshake.js";
import type * as limits from "./limits.js";
import type * as messages from "./messages.js";

/** Handlers by kind of message. The connection is closed if a handler's promise rejects. */
export interface PeerHandlers {
    "heartbeat"(message: schema.peer.Heartbeat, from: handshake.PeerIdentity): schema.peer.HeartbeatAnswer;
    /** @param signal aborted when the peer cancels the request, or when its connection is lost */
    "dispatch"(
        message: schema.peer.Dispatch,
        from: handshake.PeerIdentity,
        signal: AbortSignal,
    ): Promise<schema.peer.DispatchAnswer>;
    "key-query"(message: schema.peer.KeyQuery, from: handshake.PeerIdentity): Promise<schema.peer.KeyAnswer>;
    "records-query"(
        message: schema.peer.RecordsQuery,
        from: handshake.PeerIdentity,
    ): Promise<schema.peer.RecordsAnswer>;
    "goodbye"(message: schema.peer.Goodbye, from: handshake.PeerIdentity): void;
}

export interface AcceptedConnectionOptions {
    readonly socket: net.Socket;
    readonly identity: handshake.PeerIdentity;
    readonly peerKey: string;
    readonly handlers: PeerHandlers;
    readonly limits: limits.PeerLimits;
    /** This side closes the connection because of a fault. */
    onFault(reason: channel.CloseReason, detail: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
    onClosed(): void;
}

/** Multiple of the timeout after which a connection without traffic is closed; the dialing side gives up earlier. */
const idleTimeoutFactor = 2;

type PeerResponse =
    | schema.peer.HeartbeatAnswer
    | schema.peer.DispatchAnswer
    | schema.peer.KeyAnswer
    | schema.peer.RecordsAnswer;

/**
 * Maximum size of the unsent responses, in frames of the maximum size. It is larger than for requests, since a response
 * that can't be sent leaves its caller without the outcome of work that was done.
 */
const maxQueuedResponseFrames = 8;

type KindHandlers = {
    readonly [Kind in messages.MessageKind]?: (message: messages.MessageOf<Kind>) => void;
};

/** A connection from a peer, which ends with its socket. */
export class AcceptedConnection {
    private readonly channel: channel.Channel;
    private readonly challenge = handshake.createNonce();
    private readonly dispatches = new Map<number, AbortController>();
    private readonly handshakeTimer: NodeJS.Timeout;
    private peer: handshake.PeerIdentity | undefined;

    constructor(private readonly options: AcceptedConnectionOptions) {
        const { socket, limits: bounds } = options;
        this.channel = new channel.Channel(socket, bounds.maxFrameBytes, {
            onMessage: message => this.handleMessage(message),
            onFault: (reason, detail) => options.onFault(reason, detail),
            onBytes: (direction, bytes) => options.onBytes(direction, bytes),
            onClosed: () => this.handleClose(),
        });
        this.handshakeTimer = setTimeout(
            () => this.channel.fail(channel.CloseReason.handshakeTimeout, `not complete within ${bounds.timeoutMs} ms`),
            bounds.timeoutMs,
        );
        socket.setTimeout(idleTimeoutFactor * bounds.timeoutMs, () => {
            this.channel.fail(channel.CloseReason.silent, `no traffic for ${idleTimeoutFactor * bounds.timeoutMs} ms`);
        });
        this.channel.send({ kind: "challenge", nonce: this.challenge });
    }

    /** Whether the peer has proved that it knows the shared key. */
    get isAuthenticated(): boolean {
        return this.peer !== undefined;
    }

    /** Closes the connection immediately. */
    close(reason: channel.CloseReason): void {
        this.channel.fail(reason, "closed by this side");
    }

    private handleMessage(message: schema.peer.PeerMessage): void {
        const handlers: KindHandlers = this.peer === undefined
            ? this.handshakeHandlers
            : this.createHandlers(this.peer);
        const handle = handlers[message.kind] as ((message: schema.peer.PeerMessage) => void) | undefined;
        if (handle === undefined) {
            this.channel.fail(channel.CloseReason.unexpectedKind, message.kind);
            return;
        }
        handle(message);
    }

    private readonly handshakeHandlers: KindHandlers = {
        hello: message => this.handleHello(message),
    };

    private createHandlers(from: handshake.PeerIdentity): KindHandlers {
        const { handlers } = this.options;
        return {
            "heartbeat": message => this.respond(message, async () => handlers.heartbeat(message, from)),
            "dispatch": message => this.runDispatch(message, from),
            "dispatch-cancel": message => this.dispatches.get(message.exchange)?.abort(),
            "key-query": message => this.respond(message, () => handlers["key-query"](message, from)),
            "records-query": message => this.respond(message, () => handlers["records-query"](message, from)),
            "goodbye": message => handlers.goodbye(message, from),
        };
    }

    private handleHello(hello: schema.peer.Hello): void {
        const { identity, peerKey } = this.options;
        if (!handshake.verifyHello(hello, this.challenge, peerKey)) {
            this.channel.fail(channel.CloseReason.wrongKey, "the MAC of the hello is invalid");
            return;
        }
        clearTimeout(this.handshakeTimer);
        this.peer = handshake.copyIdentity(hello);
        this.channel.raiseFrameLimit();
        this.channel.send(handshake.createWelcome(identity, hello, this.challenge, peerKey));
    }

    private runDispatch(message: schema.peer.Dispatch, from: handshake.PeerIdentity): void {
        const controller = new AbortController();
        this.dispatches.set(message.exchange, controller);
        this.respond(message, async () => {
            try {
                return await this.options.handlers.dispatch(message, from, controller.signal);
            }
            finally {
                this.dispatches.delete(message.exchange);
            }
        });
    }

    private respond(request: { readonly exchange: number; }, handle: () => Promise<PeerResponse>): void {
        const responding = (async () => this.sendResponse({ ...await handle(), exchange: request.exchange }))();
        responding.catch((thrown: unknown) =>
            this.channel.fail(channel.CloseReason.handlerFailed, errors.getErrorMessage(thrown))
        );
    }

    private sendResponse(response: PeerResponse): void {
        const sent = this.channel.send(response, maxQueuedResponseFrames * this.options.limits.maxFrameBytes);
        if (sent.isErr() && sent.error !== channel.SendFault.closed) {
            this.channel.fail(channel.CloseReason.answerBacklog, sent.error);
        }
    }

    private handleClose(): void {
        clearTimeout(this.handshakeTimer);
        this.dispatches.forEach(controller => controller.abort());
        this.options.onClosed();
    }
}
