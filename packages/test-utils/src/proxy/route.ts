/**
 * One listening port of the proxy, its target and its faults.
 */
import * as net from "node:net";
import * as standIn from "../stand-in.js";
import * as link from "./link.js";

/** Where a route leads. */
export interface RouteOptions {
    readonly name: string;
    readonly targetHost: string;
    readonly targetPort: number;
    /** One-way delay in ms. */
    readonly delayMs?: number;
    /** Connections from IP numbers with this prefix are not delayed. */
    readonly undelayedFrom?: string;
}

/** Faults that hold until they are changed; `cut`, `freeze` and `loseAnswer` act once. */
export interface RouteFaults {
    /** New connections are refused. */
    readonly refuse?: boolean;
    /** All connections are reset now. */
    readonly cut?: boolean;
    /** Connections that are open now go silent for good. */
    readonly freeze?: boolean;
    /** All connections, open and new, are silent; those stay so when the fault is cleared. */
    readonly blackhole?: boolean;
    /** As `blackhole`, for connections from IP numbers with one of these prefixes. */
    readonly blackholeFrom?: readonly string[];
    readonly delayMs?: number;
    /** Requests that reach the target and whose answers are then lost. */
    readonly loseAnswer?: number;
}

const probeDelayMs = 50;

/** A route listens only while its target does, so that a refusal of the target shows as a refusal. */
export class Route implements link.LinkRoute {
    private readonly links = new Set<link.Link>();
    private readonly server = net.createServer({ allowHalfOpen: true, noDelay: true }, caller => this.accept(caller));
    private port = 0;
    private faults: RouteFaults = {};
    private lostAnswers = 0;
    private targetRefuses = false;
    private isProbing = false;
    private isListening = false;
    private listeningChange = Promise.resolve();

    constructor(private options: RouteOptions) {}

    /** Listens on a free port. */
    async start(): Promise<number> {
        this.port = await standIn.listenReopenably(this.server);
        this.isListening = true;
        return this.port;
    }

    get targetHost(): string {
        return this.options.targetHost;
    }

    get targetPort(): number {
        return this.options.targetPort;
    }

    /** Leads new connections to another target, on the same port. */
    redirect(options: RouteOptions): number {
        this.options = options;
        return this.port;
    }

    /** Merges faults into those that hold. */
    async changeFaults(change: RouteFaults): Promise<void> {
        const { cut, freeze, loseAnswer, ...lasting } = change;
        this.faults = { ...this.faults, ...lasting };
        this.lostAnswers = loseAnswer ?? this.lostAnswers;
        for (const open of this.links) {
            if (cut === true) {
                open.cut();
            }
            else if (freeze === true || this.isBlackholed(open.remoteHost)) {
                open.silence();
            }
        }
        await this.updateListening();
    }

    findDelayMs(remoteHost: string): number {
        const { undelayedFrom, delayMs } = this.options;
        const isUndelayed = undelayedFrom !== undefined && remoteHost.startsWith(undelayedFrom);
        return isUndelayed ? 0 : this.faults.delayMs ?? delayMs ?? 0;
    }

    takeLostAnswer(): boolean {
        const isLost = this.lostAnswers > 0;
        this.lostAnswers -= isLost ? 1 : 0;
        return isLost;
    }

    targetClosed(): void {
        if (!this.isProbing) {
            this.isProbing = true;
            void this.probe();
        }
    }

    private accept(caller: net.Socket): void {
        if (this.faults.refuse === true) {
            caller.resetAndDestroy();
            return;
        }
        const opened = new link.Link(caller, this, this.isBlackholed(caller.remoteAddress ?? ""));
        this.links.add(opened);
        caller.once("close", () => this.links.delete(opened));
    }

    private isBlackholed(remoteHost: string): boolean {
        const prefixes = this.faults.blackholeFrom ?? [];
        return this.faults.blackhole === true || prefixes.some(prefix => remoteHost.startsWith(prefix));
    }

    /** Tries the target until it accepts connections again. */
    private async probe(): Promise<void> {
        while (await isRefused(this.targetHost, this.targetPort)) {
            this.targetRefuses = true;
            await this.updateListening();
            await new Promise(resolve => setTimeout(resolve, probeDelayMs));
        }
        this.targetRefuses = false;
        this.isProbing = false;
        await this.updateListening();
    }

    private updateListening(): Promise<void> {
        this.listeningChange = this.listeningChange.then(() => this.applyListening());
        return this.listeningChange;
    }

    private async applyListening(): Promise<void> {
        const isWanted = this.faults.blackhole === true || !(this.faults.refuse === true || this.targetRefuses);
        if (isWanted === this.isListening) {
            return;
        }
        this.isListening = isWanted;
        if (isWanted) {
            await standIn.listenAgain(this.server, this.port);
        }
        else {
            this.server.close();
        }
    }
}

/** Whether nothing listens at the address. */
function isRefused(host: string, port: number): Promise<boolean> {
    return new Promise(resolve => {
        const socket = net.connect({ host, port });
        socket.once("connect", () => {
            socket.destroy();
            resolve(false);
        });
        socket.once("error", (error: NodeJS.ErrnoException) => resolve(error.code === "ECONNREFUSED"));
    });
}
