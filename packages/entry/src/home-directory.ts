/**
 * The backend servers whose home is this session, with their connections and exact counts of running requests.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as backendConnection from "./backend-connection.js";

/** A backend server homed here. */
export interface HomedServer {
    readonly instance: string;
    readonly pool: string;
    readonly slots: number;
    readonly generation: number;
    /** Whether new requests may go to it. */
    readonly accepting: boolean;
    readonly inFlight: number;
    readonly connection: backendConnection.BackendConnection;
}

/** A home to give up. */
export interface ReleasableHome {
    readonly instance: string;
    readonly generation: number;
}

interface ServerRecord {
    pool: string;
    instance: schema.log.Instance;
    generation: number;
    accepting: boolean;
    inFlight: number;
    connection: backendConnection.BackendConnection;
}

export interface HomeLimits {
    readonly maxAnswerBytes: number;
    readonly sourceHost: string | undefined;
}

export class HomeDirectory {
    readonly #servers = new Map<string, ServerRecord>();
    readonly #limits: HomeLimits;
    #closing = false;

    constructor(limits: HomeLimits) {
        this.#limits = limits;
    }

    /** Follows the fleet state: takes on new homes, and drops those that passed on. */
    sync(state: fleetState.FleetState, session: string): void {
        for (const homed of fleetState.listHomedInstances(state, session)) {
            this.#take(homed);
        }
        for (const [name, record] of this.#servers) {
            if (state.instances.get(name)?.home !== session) {
                this.#drop(name, record);
            }
        }
    }

    #take(homed: fleetState.InstanceState): void {
        const record = this.#servers.get(homed.instance.name) ?? this.#create(homed);
        if (!isSameAddress(record.instance.address, homed.instance.address)) {
            void record.connection.close();
            record.connection = this.#connect(homed.instance);
        }
        record.instance = homed.instance;
        record.pool = homed.pool;
        record.generation = homed.generation;
        record.accepting = homed.phase === fleetState.Phase.active && homed.nextHome === undefined;
    }

    #create(homed: fleetState.InstanceState): ServerRecord {
        const record = {
            pool: homed.pool,
            instance: homed.instance,
            generation: homed.generation,
            accepting: false,
            inFlight: 0,
            connection: this.#connect(homed.instance),
        };
        this.#servers.set(homed.instance.name, record);
        return record;
    }

    #connect(instance: schema.log.Instance): backendConnection.BackendConnection {
        return new backendConnection.BackendConnection(instance.address, {
            ...this.#limits,
            connections: instance.connections,
        });
    }

    /** Requests that still run keep their connections; the counts go with the record. */
    #drop(name: string, record: ServerRecord): void {
        record.accepting = false;
        if (record.inFlight === 0) {
            this.#servers.delete(name);
            void record.connection.close();
        }
    }

    /** Takes no new requests on any server; used before the process ends. */
    close(): void {
        this.#closing = true;
    }

    /** Servers of a pool, those that only end their requests included. */
    listServers(pool: string): readonly HomedServer[] {
        return [...this.#servers.values()].filter(record => record.pool === pool).map(record => this.#view(record));
    }

    #view(record: ServerRecord): HomedServer {
        return {
            instance: record.instance.name,
            pool: record.pool,
            slots: record.instance.slots,
            generation: record.generation,
            accepting: record.accepting && !this.#closing,
            inFlight: record.inFlight,
            connection: record.connection,
        };
    }

    countInFlight(): number {
        return [...this.#servers.values()].reduce((sum, record) => sum + record.inFlight, 0);
    }

    beginRequest(instance: string): void {
        const record = this.#servers.get(instance);
        if (record !== undefined) {
            record.inFlight += 1;
        }
    }

    endRequest(instance: string): void {
        const record = this.#servers.get(instance);
        if (record !== undefined) {
            record.inFlight -= 1;
        }
    }

    /** Gives up connections to all servers that may be older than `before`. Times are clock time in ms. */
    retireConnections(before: number, now: number): void {
        for (const record of this.#servers.values()) {
            record.connection.retireConnections(before, now);
        }
    }

    /** Homes that the fold wants given up and that have no request left. */
    listReleasable(state: fleetState.FleetState, session: string): readonly ReleasableHome[] {
        return fleetState.listHomedInstances(state, session)
            .filter(homed => homed.phase === fleetState.Phase.draining || homed.nextHome !== undefined)
            .filter(homed => (this.#servers.get(homed.instance.name)?.inFlight ?? 0) === 0)
            .map(homed => ({ instance: homed.instance.name, generation: homed.generation }));
    }
}

function isSameAddress(left: schema.log.Address, right: schema.log.Address): boolean {
    return left.host === right.host && left.port === right.port;
}
