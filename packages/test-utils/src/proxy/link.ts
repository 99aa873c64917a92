/**
 * One proxied connection: the caller's socket and the one to the target.
 */
import * as net from "node:net";
import * as delayedPipe from "./delayed-pipe.js";

/** Lets bytes that are still under way arrive before the end of the connection, in ms. */
const closeDelayMs = 5;

/** What a link asks of its route. */
export interface LinkRoute {
    readonly targetHost: string;
    readonly targetPort: number;
    /** One-way delay of connections from a host, in ms. */
    findDelayMs(remoteHost: string): number;
    /** Takes one of the answers to lose, if any is left. */
    takeLostAnswer(): boolean;
    /** Called when the target refused or closed the connection. */
    targetClosed(): void;
}

/** Forwards both ways until it is made silent, cut or closed. */
export class Link {
    /** IP number that the caller's connection came from. */
    readonly remoteHost: string;
    private readonly target: net.Socket | undefined;
    private isSilent: boolean;
    private losesAnswer = false;

    constructor(private readonly caller: net.Socket, private readonly route: LinkRoute, isSilent: boolean) {
        this.remoteHost = caller.remoteAddress ?? "";
        this.isSilent = isSilent;
        this.watch(caller, () => this.target);
        this.target = isSilent ? undefined : this.connect();
        if (isSilent) {
            caller.resume();
        }
    }

    /** Swallows everything from now on, for good, and keeps both sides open. */
    silence(): void {
        this.isSilent = true;
        this.caller.resume();
        this.target?.resume();
    }

    /** Resets both sides at once. */
    cut(): void {
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
        this.watch(target, () => this.caller);
        target.on("close", () => this.route.targetClosed());
        this.caller.on("data", () => this.losesAnswer ||= this.route.takeLostAnswer());
        const readDelayMs = () => this.route.findDelayMs(this.remoteHost);
        delayedPipe.pipeDelayed(this.caller, target, { readDelayMs, mayPass: () => !this.isSilent });
        delayedPipe.pipeDelayed(target, this.caller, { readDelayMs, mayPass: () => this.mayAnswer() });
        return target;
    }

    private mayAnswer(): boolean {
        if (this.losesAnswer) {
            this.cut();
        }
        return !this.isSilent && !this.losesAnswer;
    }

    /** Passes the end of one side on to the other; a silent link tells neither what became of the other. */
    private watch(side: net.Socket, readOther: () => net.Socket | undefined): void {
        side.on("error", () => {});
        side.on("end", () => this.isSilent && side.destroy());
        side.on("close", hadError => {
            const delayMs = this.route.findDelayMs(this.remoteHost) + closeDelayMs;
            setTimeout(() => this.closeSide(readOther(), hadError), delayMs);
        });
    }

    private closeSide(side: net.Socket | undefined, hadError: boolean): void {
        if (this.isSilent || side === undefined) {
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
