/**
 * Counts the bytes of the connections to a service, of which one is open at a time.
 */
import type * as net from "node:net";
import type * as counters from "./counters.js";

/** Called with the number of bytes since the previous call. */
export type TrafficListener = (direction: counters.Direction, bytes: number) => void;

export class TrafficMeter {
    private socket: net.Socket | undefined;
    private reportedReceivedBytes = 0;
    private reportedSentBytes = 0;

    constructor(private readonly listener: TrafficListener | undefined) {}

    /** Reports the remaining bytes of the previous connection and starts counting those of a new one. */
    attach(socket: net.Socket): void {
        this.report();
        this.socket = socket;
        this.reportedReceivedBytes = 0;
        this.reportedSentBytes = 0;
    }

    /** Reports the bytes since the previous report. */
    report(): void {
        if (this.socket === undefined) {
            return;
        }
        const { bytesRead, bytesWritten } = this.socket;
        this.listener?.("received", bytesRead - this.reportedReceivedBytes);
        this.listener?.("sent", bytesWritten - this.reportedSentBytes);
        this.reportedReceivedBytes = bytesRead;
        this.reportedSentBytes = bytesWritten;
    }
}
