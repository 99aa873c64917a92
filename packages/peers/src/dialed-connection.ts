/**
 * The connecting side of one connection: handshake, heartbeats, questions.
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
import * as questions from "./questions.js";

/** How a connection ended. */
export const ConnectionEnd = {
    /** The host answers and no process listens. */
    refused: "refused",
    /** No connection, or no whole handshake in time, or a peer that doesn't prove that it knows the key. */
    unreachable: "unreachable",
    /** A process that knows the key answers under another session. */
    strange: "strange",
    /** It stopped answering. */
    silent: "silent",
    /** It stood and was closed. */
    lost: "lost",
} as const;
export type ConnectionEnd = (typeof ConnectionEnd)[keyof typeof ConnectionEnd];

/** What a heartbeat says, without its frame. */
export type HeartbeatContent = Omit<schema.peer.Heartbeat, "kind" | "exchange">;

export interface DialOptions {
    readonly address: schema.log.Address;
    /** Who should answer; only the session is compared. Undefined accepts any process that knows the key. */
    readonly expected: handshake.PeerIdentity | undefined;
    readonly identity: handshake.PeerIdentity;
    /** Key that all entry instances share. */
    readonly peerKey: string;
    readonly limits: limits.PeerLimits;
    /** Monotonic clock, in ms. */
    readonly clock: () => number;
    /** Source IP number. */
    readonly localAddress?: string;
    makeHeartbeat(): HeartbeatContent;
    /** @param sentAt clock time (ms) at which the answered heartbeat was sent */
    onHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void;
    /** The handshake is complete. */
    onReady(): void;
    /** The connection is over. Called once. */
    onEnd(end: ConnectionEnd, detail: string): void;
    /** Something was counted that doesn't end the connection. */
    onOddity(reason: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
}

type KindHandlers = {
    readonly [Kind in messages.MessageKind]?: (message: messages.MessageOf<Kind>) => void;
};

/** Dials at once; lives until its socket is closed. */
export class DialedConnection {
    private readonly channel: channel.Channel;
    private readonly table = new questions.QuestionTable();
    private readonly heartbeatsSentAt = new Map<number, number>();
    private readonly dialTimer: NodeJS.Timeout;
    private heartbeatTimer: NodeJS.Timeout | undefined;
    private nextExchange = 1;
    private liveness: liveness.Liveness;
    private handlers: KindHandlers;
    private end: ConnectionEnd = ConnectionEnd.unreachable;

    constructor(private readonly options: DialOptions) {
        const { address, limits: bounds, localAddress } = options;
        this.liveness = liveness.startLiveness(options.clock());
        this.handlers = { challenge: message => this.takeChallenge(message) };
        const socket = net.connect({ host: address.host, port: address.port, localAddress });
        socket.on("error", (error: NodeJS.ErrnoException) => this.takeSocketError(error));
        this.channel = new channel.Channel(socket, bounds.maxFrameBytes, {
            onMessage: message => this.takeMessage(message),
            onFault: reason => options.onOddity(reason),
            onBytes: (direction, bytes) => options.onBytes(direction, bytes),
            onClosed: detail => this.takeClose(detail),
        });
        this.dialTimer = setTimeout(
            () => this.channel.fail(channel.CloseReason.handshakeTimeout, `${bounds.timeoutMs} ms`),
            bounds.timeoutMs,
        );
    }

    /** Asks a question. The error `unreachable` says that none of its bytes was given to the socket. */
    ask<Kind extends questions.QuestionKind>(
        kind: Kind,
        content: Omit<messages.MessageOf<Kind>, "kind" | "exchange">,
        timeoutMs: number,
        signal?: AbortSignal,
    ): Promise<questions.AnswerOutcome<Kind>> {
        const exchange = this.takeExchange();
        const sent = this.channel.send({ ...content, kind, exchange } as unknown as messages.MessageOf<Kind>);
        if (sent.isErr()) {
            return Promise.resolve(questions.createError("unreachable", sent.error));
        }
        const answered = this.table.wait(exchange, kind, timeoutMs);
        if (signal === undefined) {
            return answered;
        }
        const cancel = () => this.channel.send({ kind: "dispatch-cancel", exchange }, Number.POSITIVE_INFINITY);
        signal.addEventListener("abort", cancel, { once: true });
        return answered.finally(() => signal.removeEventListener("abort", cancel));
    }

    /** Tells the other side that this process leaves; resolves when the message was given to the system. */
    sayGoodbye(): Promise<neverthrow.Result<void, errors.PeerError>> {
        return new Promise(resolve => {
            const goodbye = { kind: "goodbye", session: this.options.identity.session } as const;
            const sent = this.channel.send(goodbye, Number.POSITIVE_INFINITY, () => resolve(neverthrow.ok()));
            if (sent.isErr()) {
                resolve(questions.createError("unreachable", sent.error));
            }
        });
    }

    /** Ends the connection at once; waiting questions end as `lost`. */
    close(): void {
        this.channel.destroy("closed by this side");
    }

    private takeMessage(message: schema.peer.PeerMessage): void {
        const handle = this.handlers[message.kind] as ((message: schema.peer.PeerMessage) => void) | undefined;
        if (handle === undefined) {
            this.channel.fail(channel.CloseReason.unexpectedKind, message.kind);
            return;
        }
        handle(message);
    }

    private takeChallenge(challenge: schema.peer.Challenge): void {
        const nonces = { challenge: challenge.nonce, hello: handshake.createNonce() };
        const hello = handshake.createHello(this.options.identity, nonces, this.options.peerKey);
        this.handlers = { welcome: message => this.takeWelcome(message, hello, challenge.nonce) };
        this.channel.send(hello);
    }

    private takeWelcome(welcome: schema.peer.Welcome, hello: schema.peer.Hello, challenge: string): void {
        if (!handshake.isGenuineWelcome(welcome, hello, challenge, this.options.peerKey)) {
            this.channel.fail(channel.CloseReason.wrongKey, "the welcome is not genuine");
            return;
        }
        const { expected } = this.options;
        if (expected !== undefined && welcome.session !== expected.session) {
            this.end = ConnectionEnd.strange;
            this.channel.fail(channel.CloseReason.wrongSession, `session ${welcome.session} answers`);
            return;
        }
        this.becomeReady();
    }

    private becomeReady(): void {
        clearTimeout(this.dialTimer);
        this.end = ConnectionEnd.lost;
        this.channel.raiseFrameLimit();
        this.liveness = liveness.startLiveness(this.options.clock());
        this.handlers = {
            "heartbeat-answer": message => this.takeHeartbeatAnswer(message),
            "dispatch-answer": message => this.takeAnswer(message),
            "key-answer": message => this.takeAnswer(message),
            "records-answer": message => this.takeAnswer(message),
        };
        this.heartbeatTimer = setInterval(() => this.beat(), this.options.limits.heartbeatMs);
        this.options.onReady();
        this.sendHeartbeat();
    }

    private beat(): void {
        const { clock, limits: bounds } = this.options;
        this.liveness = liveness.checkLiveness(this.liveness, clock(), bounds.timeoutMs);
        if (liveness.isGivenUp(this.liveness)) {
            this.end = ConnectionEnd.silent;
            this.channel.fail(channel.CloseReason.silent, `no heartbeat answer for ${bounds.timeoutMs} ms`);
            return;
        }
        this.sendHeartbeat();
    }

    private sendHeartbeat(): void {
        const exchange = this.takeExchange();
        const sentAt = this.options.clock();
        const heartbeat = { ...this.options.makeHeartbeat(), kind: "heartbeat", exchange } as const;
        const sent = this.channel.send(heartbeat, Number.POSITIVE_INFINITY);
        if (sent.isOk()) {
            this.heartbeatsSentAt.set(exchange, sentAt);
        }
    }

    private takeHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer): void {
        const sentAt = this.heartbeatsSentAt.get(answer.exchange);
        if (sentAt === undefined) {
            this.options.onOddity("heartbeat-answer-unmatched");
            return;
        }
        const answered = [...this.heartbeatsSentAt.keys()].filter(exchange => exchange <= answer.exchange);
        answered.forEach(exchange => this.heartbeatsSentAt.delete(exchange));
        this.liveness = liveness.proveLiveness(this.liveness, sentAt);
        this.options.onHeartbeatAnswer(answer, sentAt, this.options.clock());
    }

    private takeAnswer(answer: messages.MessageOf<"dispatch-answer" | "key-answer" | "records-answer">): void {
        const fit = this.table.takeAnswer(answer);
        if (fit === questions.AnswerFit.late) {
            this.options.onOddity("late-answer");
        }
        if (fit === questions.AnswerFit.wrongKind) {
            this.channel.fail(channel.CloseReason.unexpectedKind, answer.kind);
        }
    }

    private takeSocketError(error: NodeJS.ErrnoException): void {
        if (error.code === "ECONNREFUSED" && error.syscall === "connect") {
            this.end = ConnectionEnd.refused;
        }
    }

    private takeClose(detail: string): void {
        clearTimeout(this.dialTimer);
        clearInterval(this.heartbeatTimer);
        this.table.loseAll(detail);
        this.options.onEnd(this.end, detail);
    }

    private takeExchange(): number {
        const exchange = this.nextExchange;
        this.nextExchange += 1;
        return exchange;
    }
}
