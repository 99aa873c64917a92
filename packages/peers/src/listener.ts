/**
 * Accepts connections of other entry instances. Whatever comes in, the process goes on.
 */
import type * as logger from "@catkinwharf/logger";
import type * as schema from "@catkinwharf/schema";
import * as net from "node:net";
import * as acceptedConnection from "./accepted-connection.js";
import * as channel from "./channel.js";
import * as counters from "./counters.js";
import type * as handshake from "./handshake.js";
import * as limits from "./limits.js";

export interface ListenerOptions {
    /** Where to listen; port 0 takes one from the kernel. */
    readonly listener: schema.settings.Listener;
    readonly identity: handshake.PeerIdentity;
    /** Key that all entry instances share. */
    readonly peerKey: string;
    readonly handlers: acceptedConnection.PeerHandlers;
    readonly limits: limits.PeerLimits;
    readonly counters: counters.PeerCounters;
    readonly logger: logger.Logger;
}

/** A listening peer port. */
export interface PeerListener {
    readonly port: number;
    /** Open connections, with those that have not proved that they know the key. */
    readonly connections: number;
    /** Stops listening and ends all connections. */
    close(): Promise<void>;
}

/** Listens for peers; rejects if the port can't be had. */
export async function listenForPeers(options: ListenerOptions): Promise<PeerListener> {
    const accepted = new ConnectionSet(options);
    const server = net.createServer(socket => accepted.accept(socket));
    await listen(server, options.listener);
    server.on("error", error => options.logger.error(`peer port failed: ${error.message}`));
    return {
        port: (server.address() as net.AddressInfo).port,
        get connections() {
            return accepted.size;
        },
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                accepted.closeAll();
            }),
    };
}

function listen(server: net.Server, listener: schema.settings.Listener): Promise<void> {
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(listener.port, listener.host, () => {
            server.off("error", reject);
            resolve();
        });
    });
}

/** Accepted connections within their bounds. */
class ConnectionSet {
    private readonly connections = new Set<acceptedConnection.AcceptedConnection>();

    constructor(private readonly options: ListenerOptions) {}

    get size(): number {
        return this.connections.size;
    }

    accept(socket: net.Socket): void {
        if (this.connections.size >= this.options.limits.maxConnections && !this.evictUnauthenticated(1)) {
            this.report(socket, channel.CloseReason.tooManyConnections, "the listener is full");
            socket.on("error", () => undefined);
            socket.destroy();
            return;
        }
        this.evictUnauthenticated(limits.maxUnauthenticated);
        const connection = new acceptedConnection.AcceptedConnection({
            ...this.options,
            socket,
            onFault: (reason, detail) => this.report(socket, reason, detail),
            onBytes: (direction, bytes) => this.options.counters.addBytes?.(direction, bytes),
            onClosed: () => this.connections.delete(connection),
        });
        this.connections.add(connection);
    }

    closeAll(): void {
        this.connections.forEach(connection => connection.close(channel.CloseReason.closed));
    }

    /** Closes the oldest unauthenticated connection if there are at least so many; a genuine one needs one round trip. */
    private evictUnauthenticated(atLeast: number): boolean {
        const strangers = [...this.connections].filter(connection => !connection.isAuthenticated);
        if (strangers.length < atLeast) {
            return false;
        }
        strangers[0]!.close(channel.CloseReason.tooManyConnections);
        this.connections.delete(strangers[0]!);
        return true;
    }

    private report(socket: net.Socket, reason: channel.CloseReason, detail: string): void {
        if (reason === channel.CloseReason.closed) {
            return;
        }
        this.options.counters.count(counters.CounterName.listenerClosed, reason);
        this.options.logger.warn(`connection from ${socket.remoteAddress ?? "nowhere"} closed: ${reason}, ${detail}`);
    }
}
