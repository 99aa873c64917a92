/**
 * One proxied connection: the caller's socket and the one to the target.
 */
import * as net from "node:net";
import * as delayedPipe from "./delayed-pipe.js";

/** Time in ms by which a close is delayed, so that bytes still being forwarded arrive before it. */
const closeDelayMs = 5;

/** The part of a route that its links use. */
export interface LinkRoute {
    readonly targetHost: string;
    readonly targetPort: number;
    /** One-way delay of connections from a host, in ms. */
    findDelayMs(remoteHost: string): number;
    /** Uses up one of the answers to lose, if any is left, and returns whether it did. */
    consumeLostAnswer(): boolean;
    /** Called when the connection to the target closes, also after a refusal. */
    onTargetClosed(): void;
}

/** Forwards in both directions until it is black-holed, reset or closed. */
export class Link {
    /** IP address that the caller's connection came from. */
    readonly remoteHost: string;
    private readonly target: net.Socket | undefined;
    private isBlackholed: boolean;
    private dropsAnswer = false;

    constructor(private readonly caller: net.Socket, private readonly route: LinkRoute, isBlackholed: boolean) {
        this.remoteHost = caller.remoteAddress ?? "";
        this.isBlackholed = isBlackholed;
        this.propagateClose(caller, () => this.target);
        this.target = isBlackholed ? undefined : this.connect();
        if (isBlackholed) {
            caller.resume();
        }
    }

    /** Discards all traffic from now on, permanently, and keeps both connections open. */
    blackhole(): void {
        this.isBlackholed = true;
        this.caller.resume();
        this.target?.resume();
    }

    /** Resets both connections. */
    reset(): void {
        this.caller.resetAndDestroy();
        this.target?.resetAndDestroy();
    }

    private connect(): net.Socket {
        const target = net.connect({
            host: this.route.targetHost,
            port: this.route.targetPort,
            allowHalfOpen: true,
            noDelay: true,
        });
        this.propagateClose(target, () => this.caller);
        target.on("close", () => this.route.onTargetClosed());
        this.caller.on("data", () => this.dropsAnswer ||= this.route.consumeLostAnswer());
        const readDelayMs = () => this.route.findDelayMs(this.remoteHost);
        delayedPipe.pipeDelayed(this.caller, target, { readDelayMs, shouldForward: () => !this.isBlackholed });
        delayedPipe.pipeDelayed(target, this.caller, { readDelayMs, shouldForward: () => this.shouldForwardAnswer() });
        return target;
    }

    private shouldForwardAnswer(): boolean {
        if (this.dropsAnswer) {
            this.reset();
        }
        return !this.isBlackholed && !this.dropsAnswer;
    }

    /** Propagates a close or reset of one side to the other, unless the link is black-holed. */
    private propagateClose(side: net.Socket, readOther: () => net.Socket | undefined): void {
        side.on("error", () => {});
        side.on("end", () => this.isBlackholed && side.destroy());
        side.on("close", hadError => {
            const delayMs = this.route.findDelayMs(this.remoteHost) + closeDelayMs;
            setTimeout(() => this.closeSide(readOther(), hadError), delayMs);
        });
    }

    private closeSide(side: net.Socket | undefined, hadError: boolean): void {
        if (this.isBlackholed || side === undefined) {
            return;
        }
        if (hadError) {
            side.resetAndDestroy();
        }
        else {
            side.destroySoon();
        }
    }
}
