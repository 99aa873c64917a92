/**
 * Limits on what clients hold of a process, derived from its machine.
 */

export interface GuardLimits {
    /** Bytes of all bodies that are being read, and of unusually large heads. */
    readonly bodyMemory: number;
    /** Bytes of all responses that clients haven't read yet. */
    readonly responseMemory: number;
    /** Connections of all ports together. */
    readonly connections: number;
    /** Requests of one connection whose responses aren't written yet. */
    readonly pipelinedRequests: number;
    /** Requests on one connection, until it is closed with a response. */
    readonly requestsPerConnection: number;
    /** Bytes that the kernel may hold of all bodies whose end hasn't arrived. */
    readonly arrivingMemory: number;
    /** Connections of all ports together that wait to be accepted, with a receive buffer each. */
    readonly waitingConnections: number;
    /** Small chunks or segments of all bodies together within 10 s. */
    readonly bodyChunks: number;
    /** Bytes of a request's head. */
    readonly headerSize: number;
    /** Time in ms from the first byte of a request's head to its end. */
    readonly headerTimeout: number;
    /** Time in ms from the end of a request's head to the end of its body. */
    readonly bodyTimeout: number;
    /** Time in ms from when a response is written until the client has read it. */
    readonly responseTimeout: number;
}

/** What a process's machine has; `undefined` where the settings don't say. */
export interface Machine {
    /** In MB. */
    readonly memory: number | undefined;
    readonly descriptors: number | undefined;
}

/** The least of the known deployments. */
const defaultMemory = 160;
const defaultDescriptors = 4100;
/** Descriptors that belong to files. */
const fileDescriptors = 200;
/** Share of the other descriptors for incoming connections; the others are for the store, peers and backend servers. */
const incomingShare = 0.5;
/** Connections for each MB of memory; one with an incomplete head of 16,384 bytes takes up to about 40 KB. */
const connectionsPerMegabyte = 8;
/**
 * Shares of the memory for bodies and for responses: on the smallest machine a process at rest takes some 90 of 160 MB,
 * and the collector of the heap and the buffers of the sockets need most of the rest.
 */
const bodyShare = 1 / 16;
const responseShare = 1 / 8;
/** Bytes that the kernel receives on a connection that isn't read: Linux's default of a receive buffer. */
export const receiveBuffer = 131_072;
/** Shares of the memory for what the kernel has received of unfinished bodies, and on connections that wait. */
const arrivingShare = 1 / 32;
const waitingShare = 1 / 8;
/** Least budget in bytes: twice the largest body of a call to the relay. */
const minMemory = 4_194_304;
const bytesPerMegabyte = 1_048_576;

/** Limits that no client inside the published limits reaches; `overrides` are those of the settings. */
export function deriveLimits(machine: Machine, overrides: Partial<GuardLimits> = {}): GuardLimits {
    const memory = machine.memory ?? defaultMemory;
    const descriptors = Math.max(0, (machine.descriptors ?? defaultDescriptors) - fileDescriptors);
    const computeBudget = (share: number) => Math.max(minMemory, Math.floor(memory * bytesPerMegabyte * share));
    const stated = Object.fromEntries(Object.entries(overrides).filter(([, value]) => value !== undefined));
    return {
        bodyMemory: computeBudget(bodyShare),
        responseMemory: computeBudget(responseShare),
        connections: Math.max(
            minConnections,
            Math.min(Math.floor(descriptors * incomingShare), memory * connectionsPerMegabyte),
        ),
        // Callers of the platform don't pipeline.
        pipelinedRequests: 32,
        requestsPerConnection: 100_000,
        arrivingMemory: computeBudget(arrivingShare),
        waitingConnections: Math.floor(computeBudget(waitingShare) / receiveBuffer),
        // Twice the largest body in chunks of one byte.
        bodyChunks: 524_288,
        headerSize: 16_384,
        // Published: 3,000 ms for a head; a body of 262,144 bytes takes 300 ms on a link of 7 Mbit/s.
        headerTimeout: 6000,
        bodyTimeout: 10_000,
        responseTimeout: 30_000,
        ...stated,
    };
}

/** With fewer, a port would have less than one connection. */
const minConnections = 32;

/** Ports of a process. */
export const Port = {
    callers: "callers",
    readiness: "readiness",
    metrics: "metrics",
    relay: "relay",
} as const;
export type Port = (typeof Port)[keyof typeof Port];

/** Shares of the ports in the connections; the sum is 1, so that no port can take those of another one. */
const portShares: Readonly<Record<Port, number>> = { callers: 0.625, readiness: 0.0625, metrics: 0.0625, relay: 0.25 };

/** Connections that may wait on a port until they are accepted. */
export function countWaitingConnections(limits: GuardLimits, port: Port): number {
    return Math.max(1, Math.floor(limits.waitingConnections * portShares[port]));
}

export function countPortConnections(limits: GuardLimits, port: Port): number {
    return Math.max(1, Math.floor(limits.connections * portShares[port]));
}
