/**
 * Typed messages over one TCP socket, with a bound on the bytes that wait to be sent.
 */
import type * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import type * as net from "node:net";
import * as counters from "./counters.js";
import * as framing from "./framing.js";
import * as limits from "./limits.js";
import * as messages from "./messages.js";

/** Why this side closed a connection. */
export const CloseReason = {
    undecodableFrame: framing.FrameFault.undecodable,
    oversizedFrame: framing.FrameFault.oversized,
    wrongSchema: "wrong-schema",
    handshakeTimeout: "handshake-timeout",
    wrongKey: "wrong-key",
    wrongSession: "wrong-session",
    unexpectedKind: "unexpected-kind",
    tooManyConnections: "too-many-connections",
    answerBacklog: "answer-backlog",
    handlerFailed: "handler-failed",
    silent: "silent",
    closed: "closed",
} as const;
export type CloseReason = (typeof CloseReason)[keyof typeof CloseReason];

/** Why a message was not given to the socket; none of its bytes will be sent. */
export const SendFault = {
    closed: "connection-closed",
    backlogFull: "send-backlog-full",
    oversized: "message-too-large",
} as const;
export type SendFault = (typeof SendFault)[keyof typeof SendFault];

export interface ChannelHandlers {
    onMessage(message: schema.peer.PeerMessage): void;
    /** This side found a fault in what came and closes the connection. */
    onFault(reason: CloseReason, detail: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
    /** The connection is over, whoever ended it. Called once. */
    onClosed(detail: string): void;
}

/** One connection, from the connecting or the accepting side. */
export class Channel {
    private readonly decoder = new framing.FrameDecoder(limits.maxHandshakeFrameBytes);
    private closeDetail = "closed by the other side";
    private open = true;

    constructor(
        private readonly socket: net.Socket,
        private readonly maxFrameBytes: number,
        private readonly handlers: ChannelHandlers,
    ) {
        socket.setNoDelay(true);
        socket.on("data", chunk => this.takeBytes(chunk));
        socket.on("error", error => this.closeDetail = error.message);
        socket.on("end", () => socket.destroy());
        socket.on("close", () => this.takeClose());
    }

    /** Allows messages of the full size, once the other side has proved that it knows the key. */
    raiseFrameLimit(): void {
        this.decoder.setMaxFrameBytes(this.maxFrameBytes);
    }

    /**
     * Gives a message to the socket. After an error none of its bytes was given.
     *
     * @param maxWaitingBytes bound on the bytes that wait in front of it
     */
    send(
        message: schema.peer.PeerMessage,
        maxWaitingBytes: number = this.maxFrameBytes,
        onFlushed?: () => void,
    ): neverthrow.Result<void, SendFault> {
        if (!this.open || this.socket.destroyed || !this.socket.writable) {
            return neverthrow.err(SendFault.closed);
        }
        const frame = framing.encodeFrame(message, this.maxFrameBytes);
        if (frame.isErr()) {
            return neverthrow.err(SendFault.oversized);
        }
        const waiting = this.socket.writableLength;
        if (waiting > 0 && waiting + frame.value.length > maxWaitingBytes) {
            return neverthrow.err(SendFault.backlogFull);
        }
        this.socket.write(frame.value, () => onFlushed?.());
        this.handlers.onBytes(counters.Direction.sent, frame.value.length);
        return neverthrow.ok();
    }

    /** Ends the connection at once. */
    destroy(detail: string): void {
        this.closeDetail = detail;
        this.socket.destroy();
    }

    /** Ends the connection and reports the fault that led to it. */
    fail(reason: CloseReason, detail: string): void {
        if (this.open && !this.socket.destroyed) {
            this.handlers.onFault(reason, detail);
            this.destroy(`${reason}: ${detail}`);
        }
    }

    private takeBytes(chunk: Buffer): void {
        this.handlers.onBytes(counters.Direction.received, chunk.length);
        this.decoder.push(chunk);
        while (!this.socket.destroyed) {
            const next = this.decoder.next();
            if (next.isErr()) {
                this.fail(next.error.fault, next.error.reason);
                return;
            }
            if (next.value === undefined) {
                return;
            }
            this.takeMessage(next.value.message);
        }
    }

    private takeMessage(candidate: unknown): void {
        const message = messages.checkMessage(candidate);
        if (message.isErr()) {
            this.fail(CloseReason.wrongSchema, message.error);
            return;
        }
        this.handlers.onMessage(message.value);
    }

    private takeClose(): void {
        if (this.open) {
            this.open = false;
            this.handlers.onClosed(this.closeDetail);
        }
    }
}
