/**
 * Sends and receives typed messages over one TCP socket, with a limit on the bytes that are queued for sending.
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

/** Why a message was not written to the socket; none of its bytes will be sent. */
export const SendFault = {
    closed: "connection-closed",
    backlogFull: "send-backlog-full",
    oversized: "message-too-large",
} as const;
export type SendFault = (typeof SendFault)[keyof typeof SendFault];

export interface ChannelHandlers {
    onMessage(message: schema.peer.PeerMessage): void;
    /** This side closes the connection because of a fault. */
    onFault(reason: CloseReason, detail: string): void;
    onBytes(direction: counters.Direction, bytes: number): void;
    /** The connection was closed by either side. Called once. */
    onClosed(detail: string): void;
}

/** One end of a connection, dialed or accepted. */
export class Channel {
    private readonly decoder = new framing.FrameDecoder(limits.maxHandshakeFrameBytes);
    private closeDetail = "closed by the peer";
    private open = true;

    constructor(
        private readonly socket: net.Socket,
        private readonly maxFrameBytes: number,
        private readonly handlers: ChannelHandlers,
    ) {
        socket.setNoDelay(true);
        socket.on("data", chunk => this.handleBytes(chunk));
        socket.on("error", error => this.closeDetail = error.message);
        socket.on("end", () => socket.destroy());
        socket.on("close", () => this.handleClose());
    }

    /** Accepts messages of the full size from now on; called once the peer is authenticated. */
    raiseFrameLimit(): void {
        this.decoder.setMaxFrameBytes(this.maxFrameBytes);
    }

    /**
     * Writes a message to the socket. If it fails, none of the message's bytes were written.
     *
     * @param maxQueuedBytes limit of the unsent bytes, including this message; with no other unsent bytes a message is
     * always written
     * @param onFlushed called when the message has been handed to the operating system
     */
    send(
        message: schema.peer.PeerMessage,
        maxQueuedBytes: number = this.maxFrameBytes,
        onFlushed?: () => void,
    ): neverthrow.Result<void, SendFault> {
        if (!this.open || this.socket.destroyed || !this.socket.writable) {
            return neverthrow.err(SendFault.closed);
        }
        const frame = framing.encodeFrame(message, this.maxFrameBytes);
        if (frame.isErr()) {
            return neverthrow.err(SendFault.oversized);
        }
        const queued = this.socket.writableLength;
        if (queued > 0 && queued + frame.value.length > maxQueuedBytes) {
            return neverthrow.err(SendFault.backlogFull);
        }
        this.socket.write(frame.value, () => onFlushed?.());
        this.handlers.onBytes(counters.Direction.sent, frame.value.length);
        return neverthrow.ok();
    }

    /** Closes the connection immediately. */
    destroy(detail: string): void {
        this.closeDetail = detail;
        this.socket.destroy();
    }

    /** Closes the connection and reports the fault that caused it. */
    fail(reason: CloseReason, detail: string): void {
        if (this.open && !this.socket.destroyed) {
            this.handlers.onFault(reason, detail);
            this.destroy(`${reason}: ${detail}`);
        }
    }

    private handleBytes(chunk: Buffer): void {
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
            this.handleMessage(next.value.message);
        }
    }

    private handleMessage(candidate: unknown): void {
        const message = messages.checkMessage(candidate);
        if (message.isErr()) {
            this.fail(CloseReason.wrongSchema, message.error);
            return;
        }
        this.handlers.onMessage(message.value);
    }

    private handleClose(): void {
        if (this.open) {
            this.open = false;
            this.handlers.onClosed(this.closeDetail);
        }
    }
}
