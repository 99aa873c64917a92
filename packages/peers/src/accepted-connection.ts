/**
 * The accepting side of one connection: checks the other side's proof, then answers its questions.
 */
import * as errors from "@catkinwharf/errors";
import type * as schema from "@catkinwharf/schema";
import type * as net from "node:net";
import * as channel from "./channel.js";
import type * as counters from "./counters.js";
import * as handshake from "./handshake.js";
import type * as limits from "./limits.js";
import type * as messages from "./messages.js";

/** One handler for each kind of question. A handler that rejects closes the connection. */
export interface PeerHandlers {
    "heartbeat"(message: schema.peer.Heartbeat, from: handshake.PeerIdentity): schema.peer.HeartbeatAnswer;
    /** @param signal aborted when the asking side cancels, or when its connection is lost */
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
    /** This side closes the connection. */
    onFault(reason: channel.CloseReason, detail: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
    onClosed(): void;
}

/** A connection without a byte for this many timeouts is given up; its other side has given it up before. */
const silentTimeouts = 2;

type Answer =
    | schema.peer.HeartbeatAnswer
    | schema.peer.DispatchAnswer
    | schema.peer.KeyAnswer
    | schema.peer.RecordsAnswer;

/**
 * Frames of the largest size whose bytes may wait as answers. More than for questions, since an answer that is dropped
 * leaves its caller without the outcome of work that was done.
 */
const maxAnswerFrames = 8;

type KindHandlers = {
    readonly [Kind in messages.MessageKind]?: (message: messages.MessageOf<Kind>) => void;
};

/** Lives as long as its socket. */
export class AcceptedConnection {
    private readonly channel: channel.Channel;
    private readonly challenge = handshake.createNonce();
    private readonly dispatches = new Map<number, AbortController>();
    private readonly handshakeTimer: NodeJS.Timeout;
    private peer: handshake.PeerIdentity | undefined;

    constructor(private readonly options: AcceptedConnectionOptions) {
        const { socket, limits: bounds } = options;
        this.channel = new channel.Channel(socket, bounds.maxFrameBytes, {
            onMessage: message => this.takeMessage(message),
            onFault: (reason, detail) => options.onFault(reason, detail),
            onBytes: (direction, bytes) => options.onBytes(direction, bytes),
            onClosed: () => this.takeClose(),
        });
        this.handshakeTimer = setTimeout(
            () => this.channel.fail(channel.CloseReason.handshakeTimeout, `${bounds.timeoutMs} ms`),
            bounds.timeoutMs,
        );
        socket.setTimeout(silentTimeouts * bounds.timeoutMs, () => {
            this.channel.fail(channel.CloseReason.silent, `no byte for ${silentTimeouts * bounds.timeoutMs} ms`);
        });
        this.channel.send({ kind: "challenge", nonce: this.challenge });
    }

    /** Whether the other side has proved that it knows the key. */
    get isAuthenticated(): boolean {
        return this.peer !== undefined;
    }

    /** Ends the connection at once. */
    close(reason: channel.CloseReason): void {
        this.channel.fail(reason, "closed by this side");
    }

    private takeMessage(message: schema.peer.PeerMessage): void {
        const handlers: KindHandlers = this.peer === undefined ? this.strangerHandlers : this.createHandlers(this.peer);
        const handle = handlers[message.kind] as ((message: schema.peer.PeerMessage) => void) | undefined;
        if (handle === undefined) {
            this.channel.fail(channel.CloseReason.unexpectedKind, message.kind);
            return;
        }
        handle(message);
    }

    private readonly strangerHandlers: KindHandlers = {
        hello: message => this.takeHello(message),
    };

    private createHandlers(from: handshake.PeerIdentity): KindHandlers {
        const { handlers } = this.options;
        return {
            "heartbeat": message => this.answer(message, async () => handlers.heartbeat(message, from)),
            "dispatch": message => this.runDispatch(message, from),
            "dispatch-cancel": message => this.dispatches.get(message.exchange)?.abort(),
            "key-query": message => this.answer(message, () => handlers["key-query"](message, from)),
            "records-query": message => this.answer(message, () => handlers["records-query"](message, from)),
            "goodbye": message => handlers.goodbye(message, from),
        };
    }

    private takeHello(hello: schema.peer.Hello): void {
        const { identity, peerKey } = this.options;
        if (!handshake.isGenuineHello(hello, this.challenge, peerKey)) {
            this.channel.fail(channel.CloseReason.wrongKey, "the hello is not genuine");
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
        this.answer(message, async () => {
            try {
                return await this.options.handlers.dispatch(message, from, controller.signal);
            }
            finally {
                this.dispatches.delete(message.exchange);
            }
        });
    }

    private answer(question: { readonly exchange: number; }, handle: () => Promise<Answer>): void {
        const answering = (async () => this.sendAnswer({ ...await handle(), exchange: question.exchange }))();
        answering.catch((thrown: unknown) =>
            this.channel.fail(channel.CloseReason.handlerFailed, errors.describeThrown(thrown))
        );
    }

    private sendAnswer(answer: Answer): void {
        const sent = this.channel.send(answer, maxAnswerFrames * this.options.limits.maxFrameBytes);
        if (sent.isErr() && sent.error !== channel.SendFault.closed) {
            this.channel.fail(channel.CloseReason.answerBacklog, sent.error);
        }
    }

    private takeClose(): void {
        clearTimeout(this.handshakeTimer);
        this.dispatches.forEach(controller => controller.abort());
        this.options.onClosed();
    }
}
