/**
 * Runs requests on the backend servers homed here: admission, queue, choice of a server, one send.
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

/** A run that takes this many times as long as usual counts as silent, if the request may be repeated. */
const silentRunFactor = 10;

/** Least time in ms without an answer that counts as silence. */
const minSilentMs = 500;

export interface DispatcherParts {
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
    readonly #parts: DispatcherParts;
    readonly #queues = new Map<string, serviceQueue.ServiceQueue>();
    readonly #estimator = new placement.RunTimeEstimator();
    readonly #outliers = new placement.OutlierDetector();
    #peerEjected: ReadonlySet<string> = new Set();
    /** State from which the caps on ejections were computed. */
    #capState: fleetState.FleetState | undefined;

    constructor(parts: DispatcherParts) {
        this.#parts = parts;
    }

    /** Follows changes of homes and pools, and of the instances that peers have ejected. */
    sync(peerEjected: ReadonlySet<string>): void {
        const state = this.#parts.readState();
        const services = state.configuration?.value.services ?? [];
        if (this.#areCapsStale(state, peerEjected)) {
            this.#peerEjected = peerEjected;
            this.#capState = state;
            services.forEach(service => this.#updateOutlierCap(state, service));
        }
        services.forEach(service => this.#updateConcurrency(service));
    }

    /** The caps look at every instance of the fleet, so they are computed anew only when something changed. */
    #areCapsStale(state: fleetState.FleetState, peerEjected: ReadonlySet<string>): boolean {
        const before = this.#capState;
        const isSameState = before !== undefined && before.instances === state.instances
            && before.configuration === state.configuration && before.profiles === state.profiles;
        return !isSameState || !isSameSet(this.#peerEjected, peerEjected);
    }

    #updateOutlierCap(state: fleetState.FleetState, service: schema.log.Service): void {
        const servers = this.#parts.homes.listServers(service.pool);
        const members = fleetState.instancesOfPool(state, service.pool);
        const budget = state.profiles.get(service.profile)?.value.availability;
        const allowed = Math.max(1, Math.floor(members.length * (budget?.maxUnavailableShare ?? 0)));
        const out = members.filter(member =>
            member.phase !== fleetState.Phase.active || this.#peerEjected.has(member.instance.name)
        );
        this.#outliers.updatePool(
            service.pool,
            servers.map(server => server.instance),
            Math.max(0, allowed - out.length),
        );
    }

    #updateConcurrency(service: schema.log.Service): void {
        const servers = this.#parts.homes.listServers(service.pool);
        const ending = servers.filter(server => !server.accepting).reduce((sum, server) => sum + server.inFlight, 0);
        const usable = this.#countSlots(servers);
        this.#queueOf(service.name).setConcurrency(usable === 0 ? 0 : usable + ending);
    }

    #countSlots(servers: readonly homedServerRegistry.HomedServer[]): number {
        return servers.filter(server => server.accepting)
            .reduce((sum, server) => sum + this.#usableSlots(server), 0);
    }

    #usableSlots(server: homedServerRegistry.HomedServer): number {
        const share = this.#outliers.share(server.instance, this.#parts.clock());
        return share === 0 ? 0 : Math.max(1, Math.floor(server.slots * share));
    }

    #queueOf(service: string): serviceQueue.ServiceQueue {
        const known = this.#queues.get(service);
        if (known !== undefined) {
            return known;
        }
        const created = new serviceQueue.ServiceQueue(
            question => this.#execute(question),
            this.#parts.clock,
        );
        this.#queues.set(service, created);
        return created;
    }

    /** Instances homed here that get no work because they fail. */
    listEjected(): readonly string[] {
        return this.#outliers.listEjected(this.#parts.clock());
    }

    /** Requests that wait here, over all services. */
    countQueued(): number {
        return [...this.#queues.values()].reduce((sum, queue) => sum + queue.queued, 0);
    }

    /** Load of each configured service. */
    listDigests(): schema.peer.Digest[] {
        const services = this.#parts.readState().configuration?.value.services ?? [];
        return services.map(service => this.#digestService(service));
    }

    /** Load of one service; undefined if it isn't configured. */
    findDigest(name: string): schema.peer.Digest | undefined {
        const service = this.#findService(name);
        return service === undefined ? undefined : this.#digestService(service);
    }

    #digestService(service: schema.log.Service): schema.peer.Digest {
        const servers = this.#parts.homes.listServers(service.pool).filter(server => server.accepting);
        const slots = this.#parts.mayDispatch() ? this.#countSlots(servers) : 0;
        const busy = servers.reduce((sum, server) => sum + server.inFlight, 0);
        return {
            service: service.name,
            slots,
            free: Math.max(0, slots - busy),
            queued: this.#queueOf(service.name).queued,
        };
    }

    /** Runs a request here, or says why not. */
    run(question: request.ServiceRequest, signal: AbortSignal): Promise<request.RequestResult> {
        const service = this.#findService(question.service);
        if (service === undefined) {
            return Promise.resolve(request.createNotRun(types.Reason.serviceUnknown));
        }
        if (!this.#parts.mayDispatch()) {
            return Promise.resolve(request.createNotRun(types.Reason.fenced));
        }
        this.#updateConcurrency(service);
        const slots = this.#countSlots(this.#parts.homes.listServers(service.pool));
        if (slots === 0) {
            return Promise.resolve(request.createNotRun(types.Reason.noCapacity));
        }
        return this.#admit(service, slots, question, signal);
    }

    #findService(name: string): schema.log.Service | undefined {
        return this.#parts.readState().configuration?.value.services.find(service => service.name === name);
    }

    #admit(
        service: schema.log.Service,
        slots: number,
        question: request.ServiceRequest,
        signal: AbortSignal,
    ): Promise<request.RequestResult> {
        const queue = this.#queueOf(service.name);
        const now = this.#parts.clock();
        const expectedRunMs = this.#estimator.estimate(service.name);
        const longRunMs = this.#estimator.estimateLong(service.name);
        const reserveMs = placement.computeRunReserve(expectedRunMs, longRunMs, question.deadline - now);
        const decision = placement.decideAdmission({
            queued: queue.queued,
            ahead: queue.countAhead(question),
            maxQueued: service.maxQueued,
            slots,
            deadline: question.deadline,
            urgency: question.urgency,
            expectedRunMs,
            reserveMs,
            worst: queue.worst,
        }, now);
        if (decision.kind === "refuse") {
            return Promise.resolve(request.createNotRun(decision.reason));
        }
        if (decision.kind === "shed") {
            queue.giveUp(decision.id, types.Reason.shed);
        }
        return queue.run(question, signal, question.deadline - reserveMs);
    }

    /**
     * Runs a request that has got a place. It runs to its end even if its caller hangs up: a backend server may go on
     * after its connection closed, and a place given away too early would overload it.
     */
    async #execute(question: request.ServiceRequest): Promise<serviceQueue.Execution> {
        const service = this.#findService(question.service);
        const server = service === undefined ? undefined : this.#chooseServer(service.pool, question.requestId);
        if (service === undefined || server === undefined) {
            return { result: request.createNotRun(types.Reason.noCapacity), ended: Promise.resolve() };
        }
        const startedAt = this.#parts.clock();
        this.#parts.homes.beginRequest(server.instance);
        const sending = server.connection.send(question, {
            timeoutMs: this.#chooseTimeout(question, startedAt),
            silentAfterMs: this.#computeSilentAfter(question.service),
            mayDispatch: () => this.#parts.mayDispatch(),
        });
        const ended = sending.ended.then(sent => {
            this.#parts.homes.endRequest(server.instance);
            this.#retireConnections(server, sent, startedAt);
            this.#learn(question, server.instance, sent, startedAt);
            this.#updateConcurrency(service);
        });
        const told = await sending.told;
        return { result: told.result, ended };
    }

    /**
     * After a silent connection those to all servers are suspect that were open before: whatever lost track of one may
     * have lost all. A repeated request thus finds a new connection wherever it goes.
     */
    #retireConnections(
        server: homedServerRegistry.HomedServer,
        sent: backendConnection.SendResult,
        startedAt: number,
    ): void {
        const now = this.#parts.clock();
        if (sent.fault === backendConnection.ServerFault.silent) {
            this.#parts.homes.retireConnections(startedAt, now);
        }
        if (backendConnection.isMismatched(sent)) {
            server.connection.retireConnections(startedAt, now);
        }
    }

    /** Servers that the request has failed on come into question only when no other has a free slot. */
    #chooseServer(pool: string, requestId: string): homedServerRegistry.HomedServer | undefined {
        const servers = this.#parts.homes.listServers(pool).filter(server => server.accepting);
        const candidates = servers.map(server => ({
            instance: server.instance,
            slots: server.slots,
            inFlight: server.inFlight,
            share: this.#outliers.share(server.instance, this.#parts.clock()),
        }));
        const random = this.#parts.random();
        const chosen = placement.chooseBackendServer(candidates, random, this.#outliers.listFailedOn(requestId))
            ?? placement.chooseBackendServer(candidates, random);
        return servers.find(server => server.instance === chosen?.instance);
    }

    /** A request that may be repeated is given up early, so that time is left to repeat it. */
    #chooseTimeout(question: request.ServiceRequest, now: number): number {
        const remainingMs = Math.max(1, question.deadline - now);
        if (!question.idempotent) {
            return remainingMs;
        }
        const usualMs = this.#estimator.estimate(question.service) * silentRunFactor;
        return Math.min(remainingMs, Math.max(usualMs, this.#parts.limits.silentConnectionMs));
    }

    /** A run of many times the usual length is taken for silence, a shorter one that a deadline ended is not. */
    #computeSilentAfter(service: string): number {
        const usualMs = this.#estimator.estimate(service);
        return usualMs === 0
            ? this.#parts.limits.silentConnectionMs
            : Math.min(this.#parts.limits.silentConnectionMs, Math.max(usualMs * silentRunFactor, minSilentMs));
    }

    #learn(
        question: request.ServiceRequest,
        instance: string,
        sent: backendConnection.SendResult,
        startedAt: number,
    ): void {
        const now = this.#parts.clock();
        if (sent.fault === undefined) {
            if (sent.result.outcome === types.Outcome.answered) {
                this.#estimator.record(question.service, now - startedAt, now);
                this.#outliers.recordSuccess(instance, now);
            }
            return;
        }
        this.#parts.metrics.count("server_faults", sent.fault);
        if (!this.#parts.limits.ejection) {
            return;
        }
        this.#outliers.recordFailure(instance, question.requestId, sent.fault, now);
    }
}

function isSameSet(left: ReadonlySet<string>, right: ReadonlySet<string>): boolean {
    return left.size === right.size && [...left].every(element => right.has(element));
}
