/**
 * Accepts connections from other entry instances. Invalid input closes its connection and never stops the process.
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
    /** Address to listen on; with port 0 the operating system chooses a port. */
    readonly listener: schema.settings.Listener;
    readonly identity: handshake.PeerIdentity;
    /** Key shared by all entry instances. */
    readonly peerKey: string;
    readonly handlers: acceptedConnection.PeerHandlers;
    readonly limits: limits.PeerLimits;
    readonly counters: counters.PeerCounters;
    readonly logger: logger.Logger;
}

/** Listener for connections from peers. */
export interface PeerListener {
    readonly port: number;
    /** Number of open connections, including those that have not been authenticated. */
    readonly connections: number;
    /** Stops listening and closes all connections. */
    close(): Promise<void>;
}

/** Listens for peers; rejects if it can't listen on the address. */
export async function listenForPeers(options: ListenerOptions): Promise<PeerListener> {
    const accepted = new ConnectionSet(options);
    const server = net.createServer(socket => accepted.accept(socket));
    await listen(server, options.listener);
    server.on("error", error => options.logger.error(`peer listener failed: ${error.message}`));
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

/** Accepted connections, kept within their limits. */
class ConnectionSet {
    private readonly connections = new Set<acceptedConnection.AcceptedConnection>();

    constructor(private readonly options: ListenerOptions) {}

    get size(): number {
        return this.connections.size;
    }

    accept(socket: net.Socket): void {
        if (this.connections.size >= this.options.limits.maxConnections && !this.evictUnauthenticated(1)) {
            this.reportClose(
                socket,
                channel.CloseReason.tooManyConnections,
                "the maximum number of connections is reached",
            );
            socket.on("error", () => undefined);
            socket.destroy();
            return;
        }
        this.evictUnauthenticated(limits.maxUnauthenticatedConnections);
        const connection = new acceptedConnection.AcceptedConnection({
            ...this.options,
            socket,
            onFault: (reason, detail) => this.reportClose(socket, reason, detail),
            onBytes: (direction, bytes) => this.options.counters.addBytes?.(direction, bytes),
            onClosed: () => this.connections.delete(connection),
        });
        this.connections.add(connection);
    }

    closeAll(): void {
        this.connections.forEach(connection => connection.close(channel.CloseReason.closed));
    }

    /**
     * Closes the oldest unauthenticated connection if there are at least `threshold` of them. This rarely affects a
     * genuine peer, which is authenticated within one round trip.
     */
    private evictUnauthenticated(threshold: number): boolean {
        const unauthenticated = [...this.connections].filter(connection => !connection.isAuthenticated);
        if (unauthenticated.length < threshold) {
            return false;
        }
        unauthenticated[0]!.close(channel.CloseReason.tooManyConnections);
        this.connections.delete(unauthenticated[0]!);
        return true;
    }

    private reportClose(socket: net.Socket, reason: channel.CloseReason, detail: string): void {
        if (reason === channel.CloseReason.closed) {
            return;
        }
        this.options.counters.count(counters.CounterName.listenerClosed, reason);
        this.options.logger.warn(
            `connection from ${socket.remoteAddress ?? "unknown address"} closed: ${reason}, ${detail}`,
        );
    }
}
