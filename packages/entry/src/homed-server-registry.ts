/**
 * The backend servers whose home is this session, with their connections and exact counts of running requests.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as backendConnection from "./backend-connection.js";

/** A backend server whose home is this session. */
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

/** A home that this session may release. */
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

export interface HomedServerRegistryOptions {
    readonly maxAnswerBytes: number;
    readonly sourceHost: string | undefined;
}

export class HomedServerRegistry {
    readonly #servers = new Map<string, ServerRecord>();
    readonly #options: HomedServerRegistryOptions;
    #isStopped = false;

    constructor(options: HomedServerRegistryOptions) {
        this.#options = options;
    }

    /** Follows the fleet state: adds the servers homed here, and retires those that no longer are. */
    sync(state: fleetState.FleetState, session: string): void {
        for (const homed of fleetState.listHomedInstances(state, session)) {
            this.#addOrUpdate(homed);
        }
        for (const [name, record] of this.#servers) {
            if (state.instances.get(name)?.home !== session) {
                this.#retireServer(name, record);
            }
        }
    }

    #addOrUpdate(homed: fleetState.InstanceState): void {
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
            ...this.#options,
            connections: instance.connections,
        });
    }

    /** Stops accepting requests on a server and removes it if it is idle; running requests keep their connections. */
    #retireServer(name: string, record: ServerRecord): void {
        record.accepting = false;
        if (record.inFlight === 0) {
            this.#servers.delete(name);
            void record.connection.close();
        }
    }

    /** Stops accepting new requests on all servers; called before the process ends. */
    stopAccepting(): void {
        this.#isStopped = true;
    }

    /** Servers of a pool, including those that only finish their running requests. */
    listServers(pool: string): readonly HomedServer[] {
        return [...this.#servers.values()].filter(record => record.pool === pool).map(record =>
            this.#toHomedServer(record)
        );
    }

    #toHomedServer(record: ServerRecord): HomedServer {
        return {
            instance: record.instance.name,
            pool: record.pool,
            slots: record.instance.slots,
            generation: record.generation,
            accepting: record.accepting && !this.#isStopped,
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

    /** Retires connections to all servers that may have been opened before `before`. Times are clock time in ms. */
    retireConnections(before: number, now: number): void {
        for (const record of this.#servers.values()) {
            record.connection.retireConnections(before, now);
        }
    }

    /** Homes that the fleet state marks for release and that have no running request. */
    listReleasableHomes(state: fleetState.FleetState, session: string): readonly ReleasableHome[] {
        return fleetState.listHomedInstances(state, session)
            .filter(homed => homed.phase === fleetState.Phase.draining || homed.nextHome !== undefined)
            .filter(homed => (this.#servers.get(homed.instance.name)?.inFlight ?? 0) === 0)
            .map(homed => ({ instance: homed.instance.name, generation: homed.generation }));
    }
}

function isSameAddress(left: schema.log.Address, right: schema.log.Address): boolean {
    return left.host === right.host && left.port === right.port;
}
