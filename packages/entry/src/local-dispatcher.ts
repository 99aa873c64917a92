/**
 * Runs requests on the backend servers homed here: admission, queueing, choice of a server, and one send per request.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as placement from "@catkinwharf/placement";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as backendConnection from "./backend-connection.js";
import * as homedServerRegistry from "./homed-server-registry.js";
import * as metrics from "./metrics.js";
import * as request from "./request.js";
import * as serviceQueue from "./service-queue.js";

/** Factor on the usual run time of a service after which a send without an answer counts as silent. */
const silentAfterFactor = 10;

/** Shortest time in ms without an answer that counts as silence. */
const minSilentMs = 500;

export interface LocalDispatcherOptions {
    readonly homes: homedServerRegistry.HomedServerRegistry;
    readonly limits: schema.settings.RequestLimits;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    readonly random: () => number;
    /** Whether the session may dispatch now. */
    mayDispatch(): boolean;
    readState(): fleetState.FleetState;
}

export class LocalDispatcher {
    readonly #options: LocalDispatcherOptions;
    readonly #queues = new Map<string, serviceQueue.ServiceQueue>();
    readonly #estimator = new placement.RunTimeEstimator();
    readonly #outliers = new placement.OutlierDetector();
    #peerEjected: ReadonlySet<string> = new Set();
    /** Fleet state for which the caps on ejections were computed. */
    #capState: fleetState.FleetState | undefined;

    constructor(options: LocalDispatcherOptions) {
        this.#options = options;
    }

    /** Applies changes of homes and pools, and of the instances that peers have ejected. */
    sync(peerEjected: ReadonlySet<string>): void {
        const state = this.#options.readState();
        const services = state.configuration?.value.services ?? [];
        if (this.#areCapsStale(state, peerEjected)) {
            this.#peerEjected = peerEjected;
            this.#capState = state;
            services.forEach(service => this.#updateOutlierCap(state, service));
        }
        services.forEach(service => this.#updateConcurrency(service));
    }

    /** Whether a change requires new caps. They depend on every instance of the fleet, so they are kept otherwise. */
    #areCapsStale(state: fleetState.FleetState, peerEjected: ReadonlySet<string>): boolean {
        const before = this.#capState;
        const isSameState = before !== undefined && before.instances === state.instances
            && before.configuration === state.configuration && before.profiles === state.profiles;
        return !isSameState || !hasSameElements(this.#peerEjected, peerEjected);
    }

    #updateOutlierCap(state: fleetState.FleetState, service: schema.log.Service): void {
        const servers = this.#options.homes.listServers(service.pool);
        const members = fleetState.instancesOfPool(state, service.pool);
        const budget = state.profiles.get(service.profile)?.value.availability;
        const allowed = Math.max(1, Math.floor(members.length * (budget?.maxUnavailableShare ?? 0)));
        const unavailable = members.filter(member =>
            member.phase !== fleetState.Phase.active || this.#peerEjected.has(member.instance.name)
        );
        this.#outliers.updatePool(
            service.pool,
            servers.map(server => server.instance),
            Math.max(0, allowed - unavailable.length),
        );
    }

    #updateConcurrency(service: schema.log.Service): void {
        const servers = this.#options.homes.listServers(service.pool);
        const drainingInFlight = servers.filter(server => !server.accepting)
            .reduce((sum, server) => sum + server.inFlight, 0);
        const usableSlots = this.#countSlots(servers);
        this.#getQueue(service.name).setConcurrency(usableSlots === 0 ? 0 : usableSlots + drainingInFlight);
    }

    #countSlots(servers: readonly homedServerRegistry.HomedServer[]): number {
        return servers.filter(server => server.accepting)
            .reduce((sum, server) => sum + this.#countUsableSlots(server), 0);
    }

    #countUsableSlots(server: homedServerRegistry.HomedServer): number {
        const share = this.#outliers.share(server.instance, this.#options.clock());
        return share === 0 ? 0 : Math.max(1, Math.floor(server.slots * share));
    }

    #getQueue(service: string): serviceQueue.ServiceQueue {
        const known = this.#queues.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = new serviceQueue.ServiceQueue(
            serviceRequest => this.#execute(serviceRequest),
            this.#options.clock,
        );
        this.#queues.set(service, created);
        return created;
    }

    /** Instances homed here that get no requests because requests to them failed. */
    listEjected(): readonly string[] {
        return this.#outliers.listEjected(this.#options.clock());
    }

    /** Number of requests that wait here, over all services. */
    countQueued(): number {
        return [...this.#queues.values()].reduce((sum, queue) => sum + queue.queued, 0);
    }

    /** Load of each configured service. */
    listDigests(): schema.peer.Digest[] {
        const services = this.#options.readState().configuration?.value.services ?? [];
        return services.map(service => this.#createDigest(service));
    }

    /** Load of one service; undefined if it isn't configured. */
    findDigest(name: string): schema.peer.Digest | undefined {
        const service = this.#findService(name);
        return service === undefined ? undefined : this.#createDigest(service);
    }

    #createDigest(service: schema.log.Service): schema.peer.Digest {
        const servers = this.#options.homes.listServers(service.pool).filter(server => server.accepting);
        const slots = this.#options.mayDispatch() ? this.#countSlots(servers) : 0;
        const busy = servers.reduce((sum, server) => sum + server.inFlight, 0);
        return {
            service: service.name,
            slots,
            free: Math.max(0, slots - busy),
            queued: this.#getQueue(service.name).queued,
        };
    }

    /** Runs a request here, or returns the reason why it was not run. */
    run(serviceRequest: request.ServiceRequest, signal: AbortSignal): Promise<request.RequestResult> {
        const service = this.#findService(serviceRequest.service);
        if (service === undefined) {
            return Promise.resolve(request.createNotRun(types.Reason.serviceUnknown));
        }
        if (!this.#options.mayDispatch()) {
            return Promise.resolve(request.createNotRun(types.Reason.fenced));
        }
        this.#updateConcurrency(service);
        const slots = this.#countSlots(this.#options.homes.listServers(service.pool));
        if (slots === 0) {
            return Promise.resolve(request.createNotRun(types.Reason.noCapacity));
        }
        return this.#admit(service, slots, serviceRequest, signal);
    }

    #findService(name: string): schema.log.Service | undefined {
        return this.#options.readState().configuration?.value.services.find(service => service.name === name);
    }

    #admit(
        service: schema.log.Service,
        slots: number,
        serviceRequest: request.ServiceRequest,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const queue = this.#getQueue(service.name);
        const now = this.#options.clock();
        const expectedRunMs = this.#estimator.estimate(service.name);
        const longRunMs = this.#estimator.estimateLong(service.name);
        const reserveMs = placement.computeRunReserve(expectedRunMs, longRunMs, serviceRequest.deadline - now);
        const decision = placement.decideAdmission({
            queued: queue.queued,
            ahead: queue.countAhead(serviceRequest),
            maxQueued: service.maxQueued,
            slots,
            deadline: serviceRequest.deadline,
            urgency: serviceRequest.urgency,
            expectedRunMs,
            reserveMs,
            lastInQueue: queue.worst,
        }, now);
        if (decision.kind === "refuse") {
            return Promise.resolve(request.createNotRun(decision.reason));
        }
        if (decision.kind === "shed") {
            queue.drop(decision.id, types.Reason.shed);
        }
        return queue.run(serviceRequest, signal, serviceRequest.deadline - reserveMs);
    }

    /**
     * Runs a request that has a slot. It runs to its end even if its caller disconnects: a backend server may continue
     * after its connection was closed, and a slot released too early would overload it.
     */
    async #execute(serviceRequest: request.ServiceRequest): Promise<serviceQueue.Execution> {
        const service = this.#findService(serviceRequest.service);
        const server = service === undefined ? undefined : this.#chooseServer(service.pool, serviceRequest.requestId);
        if (service === undefined || server === undefined) {
            return { result: request.createNotRun(types.Reason.noCapacity), slotReleased: Promise.resolve() };
        }
        const startedAt = this.#options.clock();
        this.#options.homes.beginRequest(server.instance);
        const pendingSend = server.connection.send(serviceRequest, {
            timeoutMs: this.#chooseTimeout(serviceRequest, startedAt),
            silentAfterMs: this.#computeSilentAfter(serviceRequest.service),
            mayDispatch: () => this.#options.mayDispatch(),
        });
        const slotReleased = pendingSend.finalResult.then(sent => {
            this.#options.homes.endRequest(server.instance);
            this.#retireConnections(server, sent, startedAt);
            this.#recordResult(serviceRequest, server.instance, sent, startedAt);
            this.#updateConcurrency(service);
        });
        const sendResult = await pendingSend.callerResult;
        return { result: sendResult.result, slotReleased };
    }

    /**
     * After a silent connection, the connections to all servers that were opened before the send are suspect: whatever
     * dropped the state of one may have dropped that of all. Retiring them gives a retry a new connection to any
     * server.
     */
    #retireConnections(
        server: homedServerRegistry.HomedServer,
        sent: backendConnection.SendResult,
        startedAt: number,
    ): void {
        const now = this.#options.clock();
        if (sent.fault === backendConnection.ServerFault.silent) {
            this.#options.homes.retireConnections(startedAt, now);
        }
        if (backendConnection.isMismatched(sent)) {
            server.connection.retireConnections(startedAt, now);
        }
    }

    /** Chooses a server for the request; one on which it has failed only if no other has a free slot. */
    #chooseServer(pool: string, requestId: string): homedServerRegistry.HomedServer | undefined {
        const servers = this.#options.homes.listServers(pool).filter(server => server.accepting);
        const candidates = servers.map(server => ({
            instance: server.instance,
            slots: server.slots,
            inFlight: server.inFlight,
            share: this.#outliers.share(server.instance, this.#options.clock()),
        }));
        const random = this.#options.random();
        const chosen = placement.chooseBackendServer(candidates, random, this.#outliers.listFailedOn(requestId))
            ?? placement.chooseBackendServer(candidates, random);
        return servers.find(server => server.instance === chosen?.instance);
    }

    /** Timeout in ms of a send; shorter for an idempotent request, so that time is left for a retry. */
    #chooseTimeout(serviceRequest: request.ServiceRequest, now: number): number {
        const remainingMs = Math.max(1, serviceRequest.deadline - now);
        if (!serviceRequest.idempotent) {
            return remainingMs;
        }
        const usualMs = this.#estimator.estimate(serviceRequest.service) * silentAfterFactor;
        return Math.min(remainingMs, Math.max(usualMs, this.#options.limits.silentConnectionMs));
    }

    /** Time in ms without an answer that counts as silence; a shorter run that its deadline ended does not count. */
    #computeSilentAfter(service: string): number {
        const usualMs = this.#estimator.estimate(service);
        return usualMs === 0
            ? this.#options.limits.silentConnectionMs
            : Math.min(this.#options.limits.silentConnectionMs, Math.max(usualMs * silentAfterFactor, minSilentMs));
    }

    #recordResult(
        serviceRequest: request.ServiceRequest,
        instance: string,
        sent: backendConnection.SendResult,
        startedAt: number,
    ): void {
        const now = this.#options.clock();
        if (sent.fault === undefined) {
            if (sent.result.outcome === types.Outcome.answered) {
                this.#estimator.record(serviceRequest.service, now - startedAt, now);
                this.#outliers.recordSuccess(instance, now);
            }
            return;
        }
        this.#options.metrics.count("server_faults", sent.fault);
        if (!this.#options.limits.ejection) {
            return;
        }
        this.#outliers.recordFailure(instance, serviceRequest.requestId, sent.fault, now);
    }
}

function hasSameElements(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
    return left.size === right.size && [...left].every(element => right.has(element));
}
