/**
 * Counts the bytes of the connections to a service, one connection after the other.
 */
import type * as net from "node:net";
import type * as counters from "./counters.js";

/** Told of bytes since the last call. */
export type TrafficListener = (direction: counters.Direction, bytes: number) => void;

export class TrafficMeter {
    private socket: net.Socket | undefined;
    private received = 0;
    private sent = 0;

    constructor(private readonly listener: TrafficListener | undefined) {}

    /** Goes on with a new connection. */
    follow(socket: net.Socket): void {
        this.read();
        this.socket = socket;
        this.received = 0;
        this.sent = 0;
    }

    /** Reports the bytes since the last call. */
    read(): void {
        if (this.socket === undefined) {
            return;
        }
        const { bytesRead, bytesWritten } = this.socket;
        this.listener?.("received", bytesRead - this.received);
        this.listener?.("sent", bytesWritten - this.sent);
        this.received = bytesRead;
        this.sent = bytesWritten;
    }
}
