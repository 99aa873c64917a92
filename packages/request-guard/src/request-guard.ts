/**
 * Applies the limits on clients to the HTTP servers of a process. The decisions are in connection-table.ts and
 * memory-budget.ts; this module feeds them with what happens on the sockets, and closes connections.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as requestBody from "@catkinwharf/request-body";
import * as http from "node:http";
import type * as net from "node:net";
import * as chunkBudget from "./chunk-budget.js";
import * as connectionTable from "./connection-table.js";
import * as guardLimits from "./guard-limits.js";
import * as memoryBudget from "./memory-budget.js";

export interface GuardOptions {
    readonly limits: guardLimits.GuardLimits;
    readonly log: eventLog.EventLog;
    /** Monotonic time in ms. */
    readonly now: () => number;
}

/** Time in ms between two checks of the limits; what a crowd sends of bodies that nobody reads is read until the next one. */
const checkInterval = 100;
/** Lateness in ms of a check from which the clients' data may be waiting unread, so nothing is overdue. */
const maxLateness = 1000;
/**
 * Time in ms after which a connection on which nothing was ever sent is closed; clients open some in advance. Also
 * bounds a whole request, as the limits here are lower.
 */
const silentTimeout = 75_000;
/** Bytes of a body that are discarded beyond the limit before the connection is closed. */
const discardAllowance = 65_536;

/** Faults with which the reading of a body ends, by the reason. */
const bodyFaults = {
    [connectionTable.CloseReason.bodyMemory]: requestBody.WatchFault.noMemory,
    [connectionTable.CloseReason.bodyTimeout]: requestBody.WatchFault.late,
    [connectionTable.CloseReason.bodyChunks]: requestBody.WatchFault.noMemory,
} as const;

interface GuardedRequest extends connectionTable.PendingRequest {
    readonly message: http.IncomingMessage;
    readonly response: http.ServerResponse;
    readonly body: BodyHolder;
    readonly unread: BodyHolder;
    /** Holds what the kernel may have received of the body, from the end of the head to the end of the body. */
    readonly arrival: BodyHolder;
    /** Bytes that had been received on the connection at the end of the head. */
    readonly bytesBefore: number;
    /** Bytes that the head takes. */
    readonly headMemory: number;
    /** Small chunks in which the body has arrived so far. */
    smallChunks: number;
    /** The body is refused because of its chunks, the rest of which would take time even to discard. */
    fragmented: boolean;
    /** The reading of the body has ended with a fault. */
    refused: boolean;
    /** The body is over the limit. */
    oversized: boolean;
    /** The body, or the fault with which its reading has ended. */
    reading: Promise<Buffer | requestBody.BodyFault | requestBody.WatchFault> | undefined;
    /** Ends the reading of the body; `undefined` once it has ended. */
    cancel: ((fault: requestBody.BodyFault | requestBody.WatchFault) => void) | undefined;
    /** The response was handed to the operating system, or the connection was closed. */
    finished: boolean;
}

/** Bytes of memory that a name or value of a head takes, beyond its text. */
const fieldMemory = 64;
/** Bytes of a usual head, which aren't counted. */
const usualHeadMemory = 8192;

/** A head with very many short fields takes many times its size; that of an ordinary request counts as 0. */
function estimateHeadMemory({ rawHeaders }: http.IncomingMessage): number {
    const memory = rawHeaders.length * fieldMemory;
    return memory > usualHeadMemory ? memory : 0;
}

/** Bytes that the kernel may receive of a body before they are read. */
function estimateArriving({ headers }: http.IncomingMessage): number {
    return headers["transfer-encoding"] === undefined
        ? Math.min(Number(headers["content-length"] ?? 0), guardLimits.receiveBuffer)
        : guardLimits.receiveBuffer;
}

/**
 * Ends the parsing of what a closed connection has sent. Without it, Node goes on to create the objects of all pipelined
 * requests that it has received, some thousands, and an error for each. The parser isn't part of Node's documented
 * interface; where it is another one, only this saving is lost.
 */
function stopParsing(socket: net.Socket): void {
    const { parser } = socket as { readonly parser?: { onIncoming?: unknown; }; };
    if (typeof parser?.onIncoming === "function") {
        // By this result, the rest of the data isn't HTTP.
        parser.onIncoming = () => 2;
    }
}

interface BodyHolder extends memoryBudget.Holder {
    readonly connection: GuardedConnection;
    readonly request: () => GuardedRequest;
}

interface GuardedConnection extends connectionTable.Connection {
    readonly socket: net.Socket;
    readonly port: GuardedPort;
    readonly address: string;
    readonly requests: GuardedRequest[];
    /** Bytes that the operating system had taken for sending at the last check. */
    sentBytes: number;
    /** Bytes that had been received when the last request ended. */
    idleBytes: number;
}

interface GuardedPort {
    readonly name: guardLimits.Port;
    readonly connections: Set<GuardedConnection>;
    readonly maxConnections: number;
    /** Largest body in bytes that a client may send. */
    readonly maxBodyBytes: () => number;
}

/** A response that tells the guard how much of it is unread. */
class GuardedResponse extends http.ServerResponse {
    onEnded: (() => void) | undefined;

    override end(...parts: unknown[]): this {
        super.end(...parts as []);
        this.onEnded?.();
        return this;
    }
}

export class RequestGuard {
    /** Connections that were closed early, by reason. */
    readonly closed = new Map<connectionTable.CloseReason, number>();
    readonly #ports: GuardedPort[] = [];
    readonly #connections = new WeakMap<net.Socket, GuardedConnection>();
    readonly #requests = new WeakMap<http.IncomingMessage, GuardedRequest>();
    readonly #bodies: memoryBudget.MemoryBudget<BodyHolder>;
    readonly #unread: memoryBudget.MemoryBudget<BodyHolder>;
    /** Bodies whose end hasn't arrived; those that are refused hold their share until the connection closes. */
    readonly #arriving: memoryBudget.MemoryBudget<BodyHolder>;
    readonly #chunks: chunkBudget.ChunkBudget;
    readonly #pool: requestBody.BlockPool;
    #timer: NodeJS.Timeout | undefined;
    #checkedAt = 0;

    constructor(private readonly options: GuardOptions) {
        this.#bodies = new memoryBudget.MemoryBudget(options.limits.bodyMemory);
        this.#unread = new memoryBudget.MemoryBudget(options.limits.responseMemory);
        this.#arriving = new memoryBudget.MemoryBudget(options.limits.arrivingMemory);
        this.#chunks = new chunkBudget.ChunkBudget(options.limits.bodyChunks, options.now());
        this.#pool = new requestBody.BlockPool(options.limits.bodyMemory);
    }

    /** Creates a server whose clients are held to the limits, without starting to listen. */
    createServer(name: guardLimits.Port, maxBodyBytes: () => number, handle: http.RequestListener): http.Server {
        const { limits } = this.options;
        const port: GuardedPort = {
            name,
            connections: new Set(),
            maxConnections: guardLimits.countPortConnections(limits, name),
            maxBodyBytes,
        };
        const server = http.createServer({
            ServerResponse: GuardedResponse as typeof http.ServerResponse,
            maxHeaderSize: limits.headerSize,
            headersTimeout: silentTimeout,
            requestTimeout: silentTimeout,
        }, (message, response) => {
            if (this.#addRequest(port, message, response as GuardedResponse)) {
                handle(message, response);
            }
        });
        server.maxRequestsPerSocket = limits.requestsPerConnection;
        server.on("connection", socket => this.#addConnection(port, socket));
        server.on("clientError", (error, socket) => this.#refuseHead(error, socket as net.Socket));
        this.#ports.push(port);
        if (this.#timer === undefined) {
            this.#checkedAt = this.options.now();
            this.#timer = setInterval(() => this.#check(), checkInterval).unref();
        }
        return server;
    }

    /** Reads a body within the limits of the process; a fault closes the connection after the response. */
    async readBody(
        message: http.IncomingMessage,
        maxBytes: number,
    ): Promise<Buffer | requestBody.BodyFault | requestBody.WatchFault> {
        const request = this.#requests.get(message);
        if (request === undefined || request.finished) {
            return requestBody.BodyFault.incomplete;
        }
        const result = await (request.reading ?? this.#startReading(request));
        request.reading = undefined;
        this.#bodies.set(request.body, request.finished ? 0 : request.headMemory);
        return typeof result !== "string" && result.byteLength > maxBytes ? requestBody.BodyFault.tooLarge : result;
    }

    /**
     * Reads the body from the end of the head on: until its handler asks for it, which may wait for the store first, Node
     * would keep each chunk as an object of its own.
     */
    async #startReading(request: GuardedRequest): Promise<Buffer | requestBody.BodyFault | requestBody.WatchFault> {
        const { message, body: { connection: { port } } } = request;
        const result = await requestBody.readBody<requestBody.BodyFault | requestBody.WatchFault>(
            message,
            port.maxBodyBytes(),
            {
                pool: this.#pool,
                onChunk: bytes => this.#countChunk(request, bytes),
                onStart: cancel => request.cancel = cancel,
                onHold: bytes => {
                    this.#bodies.set(request.body, request.finished ? 0 : request.headMemory + bytes);
                    this.#freeBodies();
                },
            },
        );
        request.cancel = undefined;
        if (request.finished) {
            return requestBody.BodyFault.incomplete;
        }
        if (typeof result === "string") {
            request.refused = true;
            request.response.shouldKeepAlive = false;
            return result;
        }
        // Counts until the handler takes it.
        this.#bodies.set(request.body, request.headMemory + result.byteLength);
        this.#freeBodies();
        return result;
    }

    /** Listens with a bound on the connections that wait to be accepted. */
    listen(server: http.Server, name: guardLimits.Port, host: string, port: number, onListening?: () => void): void {
        server.listen(port, host, guardLimits.countWaitingConnections(this.options.limits, name), onListening);
    }

    /** Number of requests to callers' ports that aren't answered yet. */
    countPending(): number {
        const ports = this.#ports.filter(({ name }) =>
            name === guardLimits.Port.callers || name === guardLimits.Port.readiness
        );
        return ports.flatMap(({ connections }) => [...connections])
            .reduce((sum, { requests }) => sum + requests.filter(request => !request.finished).length, 0);
    }

    #addConnection(port: GuardedPort, socket: net.Socket): void {
        const now = this.options.now();
        const connection: GuardedConnection = {
            ...connectionTable.createConnection(now),
            requests: [],
            socket,
            port,
            address: socket.remoteAddress ?? "",
            sentBytes: 0,
            idleBytes: 0,
        };
        this.#connections.set(socket, connection);
        const destroySoon = socket.destroySoon.bind(socket);
        // Node calls it after a response that ends the connection. With unread data, closing at once would reset the
        // connection before the client has read the response.
        socket.destroySoon = () => {
            if (connection.requests.every(request => request.message.complete || request.fragmented)) {
                destroySoon();
                return;
            }
            connection.closingSince ??= this.options.now();
            this.#holdClosing(connection);
            if (connection.requests.some(request => request.oversized || request.refused)) {
                // Reading it, even to discard it, would take memory faster than the collector frees it.
                socket.pause();
            }
            else if (!socket.isPaused()) {
                connection.requests.forEach(request => request.message.resume());
            }
            socket.end();
        };
        socket.once("close", () => {
            port.connections.delete(connection);
            connection.requests.forEach(request => this.#abandon(request));
        });
        if (port.connections.size >= port.maxConnections) {
            const victim = connectionTable.findLeastProgress(port.connections, now);
            if (victim !== undefined) {
                this.#close(victim, connectionTable.CloseReason.tooManyConnections);
            }
        }
        port.connections.add(connection);
    }

    /** Registers a request; returns whether it may be handled. */
    #addRequest(port: GuardedPort, message: http.IncomingMessage, response: GuardedResponse): boolean {
        const connection = this.#connections.get(message.socket);
        if (connection === undefined || message.socket.destroyed || connection.closingSince !== undefined) {
            stopParsing(message.socket);
            return false;
        }
        this.#dropFinished(connection);
        if (connection.requests.length >= this.options.limits.pipelinedRequests) {
            this.#close(connection, connectionTable.CloseReason.tooManyPipelined);
            return false;
        }
        const now = this.options.now();
        const createHolder = () => ({
            address: connection.address,
            since: now,
            held: 0,
            connection,
            request: () => request,
        });
        const request: GuardedRequest = {
            startedAt: now,
            get bodyComplete() {
                return message.complete;
            },
            respondedAt: undefined,
            message,
            response,
            body: createHolder(),
            unread: createHolder(),
            arrival: createHolder(),
            bytesBefore: message.socket.bytesRead,
            headMemory: estimateHeadMemory(message),
            smallChunks: 0,
            fragmented: false,
            refused: false,
            oversized: Number(message.headers["content-length"] ?? 0) > port.maxBodyBytes(),
            reading: undefined,
            cancel: undefined,
            finished: false,
        };
        connection.headSince = undefined;
        connection.requests.push(request);
        this.#requests.set(message, request);
        response.onEnded = () => this.#addResponse(request);
        response.once("close", () => {
            this.#unread.set(request.unread, 0);
            this.#bodies.set(request.body, 0);
            request.finished = true;
            request.cancel?.(requestBody.BodyFault.incomplete);
            this.#dropFinished(connection);
        });
        const arriving = estimateArriving(message);
        if (arriving > 0) {
            this.#arriving.set(request.arrival, arriving);
            message.once("end", () => this.#arriving.set(request.arrival, 0));
            this.#closeArriving();
        }
        this.#bodies.set(request.body, request.headMemory);
        this.#freeBodies();
        if (message.socket.destroyed) {
            return false;
        }
        if (arriving > 0) {
            request.reading = this.#startReading(request);
        }
        if (request.oversized) {
            response.shouldKeepAlive = false;
        }
        return true;
    }

    #addResponse(request: GuardedRequest): void {
        if (request.respondedAt !== undefined || request.finished || request.message.socket.destroyed) {
            return;
        }
        request.respondedAt = this.options.now();
        this.#unread.set(request.unread, request.response.writableLength);
        for (let excess = this.#unread.findExcess(); excess !== undefined; excess = this.#unread.findExcess()) {
            this.#close(excess.connection, connectionTable.CloseReason.responseMemory);
        }
    }

    /** Drops requests that have been received and answered. */
    #dropFinished(connection: GuardedConnection): void {
        const { requests, socket } = connection;
        while (requests[0]?.finished === true && requests[0].message.complete) {
            requests.shift();
            if (requests.length === 0) {
                connection.idleSince = this.options.now();
                connection.idleBytes = socket.bytesRead;
            }
        }
    }

    #freeBodies(): void {
        for (let excess = this.#bodies.findExcess(); excess !== undefined; excess = this.#bodies.findExcess()) {
            this.#refuseBody(excess.request(), connectionTable.CloseReason.bodyMemory);
        }
    }

    #countChunk(request: GuardedRequest, bytes: number): void {
        if (!chunkBudget.isSmall(bytes) || request.cancel === undefined) {
            return;
        }
        request.smallChunks += 1;
        if (!this.#chunks.take(request.smallChunks, this.options.now())) {
            request.fragmented = true;
            this.#refuseBody(request, connectionTable.CloseReason.bodyChunks);
        }
    }

    /** Counts a connection that closes with a whole receive buffer, and as the first that gives it up. */
    #holdClosing({ requests }: GuardedConnection): void {
        for (const { arrival } of requests.filter(request => request.arrival.held > 0)) {
            arrival.since = Number.NEGATIVE_INFINITY;
            this.#arriving.set(arrival, guardLimits.receiveBuffer);
        }
        this.#closeArriving();
    }

    /** Closes connections with unfinished bodies, those that are refused already first. */
    #closeArriving(): void {
        for (let excess = this.#arriving.findLargest(); excess !== undefined; excess = this.#arriving.findLargest()) {
            this.#close(excess.connection, connectionTable.CloseReason.arrivingMemory);
        }
    }

    /** Lets the reader of the body refuse the request, or closes the connection if nobody reads it. */
    #refuseBody(request: GuardedRequest, reason: keyof typeof bodyFaults): void {
        const { cancel, body: { connection } } = request;
        if (cancel === undefined) {
            this.#close(connection, reason);
            return;
        }
        request.cancel = undefined;
        this.#record(connection, reason);
        connection.closingSince = this.options.now();
        cancel(bodyFaults[reason]);
    }

    /** Answers a head that is too large, too late or malformed. */
    #refuseHead(error: Error & { readonly code?: string; }, socket: net.Socket): void {
        const connection = this.#connections.get(socket);
        if (connection === undefined || !socket.writable || error.code === "ECONNRESET") {
            socket.destroy();
            return;
        }
        const statuses: Readonly<Record<string, string>> = {
            HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
            ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
        };
        this.#closeWith(
            connection,
            statuses[error.code ?? ""] ?? "400 Bad Request",
            connectionTable.CloseReason.malformedHead,
        );
    }

    /** Sends a response without a request, if no other one is due, and closes the connection. */
    #closeWith(connection: GuardedConnection, status: string, reason: connectionTable.CloseReason): void {
        if (connection.requests.length > 0) {
            this.#close(connection, reason);
            return;
        }
        if (connection.closingSince === undefined) {
            this.#record(connection, reason);
            connection.closingSince = this.options.now();
            connection.socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        }
    }

    #close(connection: GuardedConnection, reason: connectionTable.CloseReason): void {
        this.#record(connection, reason);
        connection.port.connections.delete(connection);
        stopParsing(connection.socket);
        connection.requests.forEach(request => this.#abandon(request));
        connection.socket.destroy();
    }

    /** Frees what a request holds whose connection closes; its handler may still be waiting for something else. */
    #abandon(request: GuardedRequest): void {
        request.finished = true;
        request.cancel?.(requestBody.BodyFault.incomplete);
        request.reading = undefined;
        this.#bodies.set(request.body, 0);
        this.#unread.set(request.unread, 0);
        this.#arriving.set(request.arrival, 0);
        if (request.headMemory > 0) {
            request.message.rawHeaders = [];
            request.message.headers = {};
        }
    }

    #record(connection: GuardedConnection, reason: connectionTable.CloseReason): void {
        this.closed.set(reason, (this.closed.get(reason) ?? 0) + 1);
        const { phase, since } = connectionTable.describePhase(connection);
        this.options.log.warn("connection-closed-early", {
            port: connection.port.name,
            reason,
            address: connection.address,
            phase,
            age: Math.round(this.options.now() - since),
            connections: connection.port.connections.size,
            arrivingBytes: this.#arriving.held,
            bodyBytes: this.#bodies.held,
            chunksLeft: this.#chunks.left,
            unreadBytes: this.#unread.held,
        });
    }

    /** Closes the connections that exceed a time limit. */
    #check(): void {
        const now = this.options.now();
        const late = now - this.#checkedAt > checkInterval + maxLateness;
        this.#checkedAt = now;
        if (late) {
            return;
        }
        for (const port of this.#ports) {
            for (const connection of port.connections) {
                this.#checkConnection(connection, now);
            }
        }
    }

    /** Updates what the client hasn't read; one that goes on reading isn't the first whose connection is closed. */
    #measureUnread(connection: GuardedConnection, now: number): void {
        const sentBytes = connection.socket.bytesWritten - connection.socket.writableLength;
        const progressed = sentBytes > connection.sentBytes;
        connection.sentBytes = sentBytes;
        for (const { unread, response } of connection.requests.filter(request => request.unread.held > 0)) {
            unread.since = progressed ? now : unread.since;
            this.#unread.set(unread, response.writableLength);
        }
    }

    #checkConnection(connection: GuardedConnection, now: number): void {
        const { requests, socket, port } = connection;
        this.#dropFinished(connection);
        this.#measureUnread(connection, now);
        if (requests.length === 0 && connection.headSince === undefined && socket.bytesRead > connection.idleBytes) {
            connection.headSince = now;
        }
        const [oldest] = requests;
        if (
            oldest?.finished === true
            && socket.bytesRead - oldest.bytesBefore > port.maxBodyBytes() + discardAllowance
        ) {
            this.#close(connection, connectionTable.CloseReason.bodyTooLarge);
            return;
        }
        const reason = connectionTable.findOverdue(connection, this.options.limits, now);
        if (reason === "closed") {
            socket.destroy();
        }
        else if (reason === connectionTable.CloseReason.headerTimeout) {
            this.#closeWith(connection, "408 Request Timeout", reason);
        }
        else if (reason === connectionTable.CloseReason.bodyTimeout) {
            this.#refuseBody(requests.find(request => !request.bodyComplete)!, reason);
        }
        else if (reason !== undefined) {
            this.#close(connection, reason);
        }
    }
}
