/**
 * The entry process: creates its components, and starts and stops them in order.
 */
import * as logService from "@catkinwharf/log-service";
import * as peers from "@catkinwharf/peers";
import * as planner from "@catkinwharf/planner";
import * as types from "@catkinwharf/types";
import * as callerPort from "./caller-port.js";
import * as controlPlane from "./control-plane.js";
import * as coordinatorLease from "./coordinator-lease.js";
import * as coordinator from "./coordinator.js";
import * as fleetDemand from "./fleet-demand.js";
import * as homeReleaser from "./home-releaser.js";
import * as logStreams from "./log-streams.js";
import * as operatorChanges from "./operator-changes.js";
import * as operatorPort from "./operator-port.js";
import * as operatorViews from "./operator-views.js";
import * as peerHandlers from "./peer-handlers.js";
import * as platformPoller from "./platform-poller.js";
import * as processContext from "./process-context.js";
import * as requestPath from "./request-path.js";
import * as snapshotWriter from "./snapshot-writer.js";

/** Interval in ms at which fences, home releases and sessions to close are checked. */
const tickIntervalMs = 100;
/** Time in ms allowed for the load balancer to notice that this process is no longer ready. */
const loadBalancerDelayMs = 500;
/** Time limit in ms for the record that closes the session to be appended and read back. */
const sessionCloseTimeoutMs = 3_000;
/** Interval in ms at which a stopping process checks whether requests still run. */
const drainPollIntervalMs = 20;

/** Ports that the process listens on. */
export interface ListeningPorts {
    readonly callerPort: number;
    readonly operatorPort: number;
    readonly peerPort: number;
}

export class EntryProcess {
    readonly #context: processContext.ProcessContext;
    readonly #control: controlPlane.ControlPlane;
    readonly #requests: requestPath.RequestPath;
    readonly #callers: callerPort.CallerPort;
    readonly #releaser: homeReleaser.HomeReleaser;
    readonly #coordinator: coordinator.Coordinator;
    readonly #operators: operatorPort.OperatorPort;
    #listener: peers.PeerListener | undefined;
    #timer: NodeJS.Timeout | undefined;
    #stopping = false;

    constructor(context: processContext.ProcessContext) {
        this.#context = context;
        this.#control = new controlPlane.ControlPlane(context, {
            listDigests: () => this.#requests.dispatcher.listDigests(),
            listEjected: () => this.#requests.dispatcher.listEjected(),
            applyClaims: entries => this.#requests.keys.applyEntries(entries),
            isLeaving: () => this.#stopping,
        });
        this.#requests = new requestPath.RequestPath(context, this.#control);
        this.#callers = this.#requests.createCallerPort(() => this.#readRefusal());
        this.#releaser = new homeReleaser.HomeReleaser({
            view: this.#control.view,
            stream: this.#control.fleetStream,
            homes: this.#requests.homes,
            metrics: context.metrics,
            clock: context.clock,
            readSession: () => this.#control.session,
        });
        this.#coordinator = this.#createCoordinator();
        this.#operators = this.#createOperatorPort();
        this.#control.view.onChange(() => this.#applyStateChange());
        this.#addGauges();
    }

    #createCoordinator(): coordinator.Coordinator {
        const { settings, metrics, clock, wallClock, random } = this.#context;
        const control = this.#control;
        const shared = {
            view: control.view,
            stream: control.fleetStream,
            metrics,
            logger: this.#context.createLogger("coordinator"),
            clock,
            readSession: () => control.session,
        };
        const service = (url: string): logService.ServiceClientOptions =>
            logStreams.createServiceClientOptions(
                settings,
                url,
                (direction, bytes) => metrics.addBytes("coordinator", direction, bytes),
            );
        return new coordinator.Coordinator({
            ...shared,
            wallClock,
            policy: { ...planner.policies.chosen, shortPoolMs: settings.planning.shortPoolMs },
            maxRequestMs: settings.requests.maxTimeoutMs,
            maxHomeRenewalLagMs: settings.session.fenceMs / 2,
            lease: new coordinatorLease.CoordinatorLease({ ...shared, times: settings.session, random }),
            poller: new platformPoller.PlatformPoller({
                membership: new logService.MembershipClient(service(settings.platform.membership)),
                control: new logService.ControlClient(service(settings.platform.control)),
                metrics,
                wallClock,
            }),
            snapshots: new snapshotWriter.SnapshotWriter({
                ...shared,
                service: service(settings.platform.log),
                snapshotEvery: settings.log.snapshotEvery,
            }),
            isFresh: () => control.isFresh(),
            listEjected: () => this.#listAllEjected(),
            listDemand: () => this.#listDemand(),
        });
    }

    #listAllEjected(): ReadonlySet<string> {
        return new Set([...this.#requests.dispatcher.listEjected(), ...this.#control.directory.listEjected()]);
    }

    /** Load of all services, summed over the digests of this process and of its peers. */
    #listDemand(): planner.Demand[] {
        const remote = this.#control.directory.list().flatMap(peer => peer.status?.digests ?? []);
        return fleetDemand.sumDemand(
            [...this.#requests.dispatcher.listDigests(), ...remote],
            this.#context.wallClock(),
        );
    }

    #createOperatorPort(): operatorPort.OperatorPort {
        const { settings, metrics, clock, wallClock } = this.#context;
        const control = this.#control;
        return new operatorPort.OperatorPort({
            operatorKey: settings.security.operatorKey,
            metrics,
            logger: this.#context.createLogger("operators"),
            changes: new operatorChanges.OperatorChanges({
                view: control.view,
                stream: control.fleetStream,
                clock,
                readSession: () => control.session,
                isLogReachable: () => control.canAppend(control.fleetStream),
            }),
            views: new operatorViews.OperatorViews({
                view: control.view,
                directory: control.directory,
                coordinator: this.#coordinator,
                wallClock,
                describeSelf: () => this.#describeSelf(),
                listEjected: () => this.#requests.dispatcher.listEjected(),
                explainRequest: key => this.#explainRequest(key),
            }),
            isReady: () => this.#isReady(),
        });
    }

    #describeSelf(): operatorViews.SelfDescription {
        return {
            entry: this.#context.settings.entry,
            availabilityZone: this.#context.settings.availabilityZone,
            session: this.#control.session,
            ready: this.#isReady(),
            blind: this.#control.isLogContactLost,
        };
    }

    async #explainRequest(key: string): Promise<readonly string[]> {
        const outcomes = await this.#requests.keyedRequestRouter.listOutcomes(key, undefined);
        return outcomes.map(outcome =>
            `Service ${outcome.service}: ${outcome.state}${
                outcome.status === undefined ? "" : `, status ${outcome.status}`
            }.`
        );
    }

    #addGauges(): void {
        const { metrics } = this.#context;
        metrics.addGauge({
            name: "ready",
            help: "Whether requests are taken.",
            read: () => Number(this.#isReady()),
        });
        metrics.addGauge({
            name: "blind",
            help: "Whether contact with the log is lost.",
            read: () => Number(this.#control.isLogContactLost),
        });
        metrics.addGauge({
            name: "configuration_version",
            help: "Configuration version in force.",
            read: () => this.#control.view.state.configuration?.version ?? 0,
        });
        metrics.addGauge({
            name: "requests_in_flight",
            help: "Requests that run on backend servers homed here.",
            read: () => this.#requests.homes.countInFlight(),
        });
        metrics.addGauge({
            name: "requests_queued",
            help: "Requests that wait for a slot of a backend server homed here.",
            read: () => this.#requests.dispatcher.countQueued(),
        });
    }

    #isReady(): boolean {
        return !this.#stopping && this.#control.isServing;
    }

    #readRefusal(): types.Reason | undefined {
        return this.#stopping || this.#isReady() ? undefined : types.Reason.notReady;
    }

    /** Opens the ports and starts following the log. The process becomes ready when its fleet state is recent. */
    async start(): Promise<ListeningPorts> {
        const { settings, metrics } = this.#context;
        const callers = await this.#callers.listen(settings.callers);
        const operators = await this.#operators.listen(settings.operators);
        this.#listener = await peers.listenForPeers({
            listener: settings.peers,
            identity: this.#control.identity,
            peerKey: settings.security.peerKey,
            handlers: this.#createHandlers(),
            limits: this.#control.peerLimits,
            counters: metrics.createSink("peer_events", "peers"),
            logger: this.#context.createLogger("peers"),
        });
        const peerAddress = settings.advertised ?? { host: settings.peers.host, port: this.#listener.port };
        this.#control.start(peerAddress, { host: settings.operators.host, port: operators });
        this.#coordinator.start();
        this.#timer = setInterval(() => this.#tick(), tickIntervalMs);
        return { callerPort: callers, operatorPort: operators, peerPort: this.#listener.port };
    }

    #createHandlers(): peers.PeerHandlers {
        return peerHandlers.createPeerHandlers({
            directory: this.#control.directory,
            dispatcher: this.#requests.dispatcher,
            keys: this.#requests.keys,
            view: this.#control.view,
            metrics: this.#context.metrics,
            clock: this.#context.clock,
            createStatus: () => this.#control.createStatus(),
            readSession: () => this.#control.session,
            isStopping: () => this.#stopping,
            hasState: () => this.#control.hasState,
            keepsSession: session => this.#control.keepsSession(session),
            runTicket: (serviceRequest, ticket) => this.#requests.keyedRequestRouter.run(serviceRequest, ticket),
        });
    }

    #applyStateChange(): void {
        this.#control.sync();
        this.#requests.sync();
        this.#releaser.releaseIdleHomes();
    }

    #tick(): void {
        this.#control.tick();
        this.#requests.sync();
        this.#requests.expire(this.#context.clock());
        this.#releaser.releaseIdleHomes();
    }

    /**
     * Stops gracefully: waits until the load balancer has noticed, finishes all requests, closes the session so that
     * its homes pass to others, and closes the ports.
     */
    async stop(): Promise<void> {
        if (this.#stopping) {
            return;
        }
        this.#stopping = true;
        this.#callers.announceClose();
        await new Promise(resolve => setTimeout(resolve, loadBalancerDelayMs));
        await this.#callers.close();
        this.#requests.homes.stopAccepting();
        await this.#waitUntilIdle();
        await this.#coordinator.stop();
        clearInterval(this.#timer);
        await this.#control.stop(sessionCloseTimeoutMs);
        await this.#listener?.close();
        await this.#operators.close();
    }

    async #waitUntilIdle(): Promise<void> {
        while (this.#requests.homes.countInFlight() > 0) {
            await new Promise(resolve => setTimeout(resolve, drainPollIntervalMs));
        }
    }
}
