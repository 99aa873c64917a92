/**
 * One listening port of the proxy, its target and its faults.
 */
import * as net from "node:net";
import * as standIn from "../stand-in.js";
import * as link from "./link.js";

/** Name, target and delay of a route. */
export interface RouteOptions {
    readonly name: string;
    readonly targetHost: string;
    readonly targetPort: number;
    /** One-way delay in ms. */
    readonly delayMs?: number;
    /** Connections from IP addresses with this prefix are not delayed. */
    readonly undelayedFrom?: string;
}

/** Faults that stay active until they are changed; `cut`, `freeze` and `loseAnswer` take effect once. */
export interface RouteFaults {
    /** New connections are refused. */
    readonly refuse?: boolean;
    /** All open connections are reset. */
    readonly cut?: boolean;
    /** All open connections are black-holed permanently. */
    readonly freeze?: boolean;
    /** All open and new connections are black-holed, and stay so after the fault is cleared. */
    readonly blackhole?: boolean;
    /** Like `blackhole`, but only for connections from IP addresses with one of these prefixes. */
    readonly blackholeFrom?: readonly string[];
    readonly delayMs?: number;
    /** Number of requests that reach the target and whose connection is reset instead of a response. */
    readonly loseAnswer?: number;
}

/** Time in ms between two probes of a target that refuses connections. */
const probeDelayMs = 50;

/** Listens only while its target does, so that callers are refused whenever the target would refuse them. */
export class Route implements link.LinkRoute {
    private readonly links = new Set<link.Link>();
    private readonly server = net.createServer({ allowHalfOpen: true, noDelay: true }, caller => this.accept(caller));
    private port = 0;
    private faults: RouteFaults = {};
    private lostAnswers = 0;
    private targetRefuses = false;
    private isProbing = false;
    private isListening = false;
    private pendingListenUpdate = Promise.resolve();

    constructor(private options: RouteOptions) {}

    /** Listens on a free port. */
    async start(): Promise<number> {
        this.port = await standIn.listenOnNonEphemeralPort(this.server);
        this.isListening = true;
        return this.port;
    }

    get targetHost(): string {
        return this.options.targetHost;
    }

    get targetPort(): number {
        return this.options.targetPort;
    }

    /** Forwards new connections to another target, on the same port. */
    redirect(options: RouteOptions): number {
        this.options = options;
        return this.port;
    }

    /** Merges faults into the active ones. */
    async changeFaults(change: RouteFaults): Promise<void> {
        const { cut, freeze, loseAnswer, ...persistentFaults } = change;
        this.faults = { ...this.faults, ...persistentFaults };
        this.lostAnswers = loseAnswer ?? this.lostAnswers;
        for (const open of this.links) {
            if (cut === true) {
                open.reset();
            }
            else if (freeze === true || this.isBlackholed(open.remoteHost)) {
                open.blackhole();
            }
        }
        await this.updateListening();
    }

    findDelayMs(remoteHost: string): number {
        const { undelayedFrom, delayMs } = this.options;
        const isUndelayed = undelayedFrom !== undefined && remoteHost.startsWith(undelayedFrom);
        return isUndelayed ? 0 : this.faults.delayMs ?? delayMs ?? 0;
    }

    consumeLostAnswer(): boolean {
        const isLost = this.lostAnswers > 0;
        this.lostAnswers -= isLost ? 1 : 0;
        return isLost;
    }

    onTargetClosed(): void {
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

    /** Probes the target until it no longer refuses connections. */
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
        this.pendingListenUpdate = this.pendingListenUpdate.then(() => this.applyListening());
        return this.pendingListenUpdate;
    }

    private async applyListening(): Promise<void> {
        const shouldListen = this.faults.blackhole === true || !(this.faults.refuse === true || this.targetRefuses);
        if (shouldListen === this.isListening) {
            return;
        }
        this.isListening = shouldListen;
        if (shouldListen) {
            await standIn.listenAgain(this.server, this.port);
        }
        else {
            this.server.close();
        }
    }
}

/** Whether a connection to the address is refused. */
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
