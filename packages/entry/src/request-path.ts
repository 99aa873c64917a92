/**
 * The request path of this process: keys, routing, local queues and connections to backend servers.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as answerCache from "./answer-cache.js";
import * as callerPort from "./caller-port.js";
import * as controlPlane from "./control-plane.js";
import * as expiredKeys from "./expired-keys.js";
import * as homedServerRegistry from "./homed-server-registry.js";
import * as keyedRequestRouter from "./keyed-request-router.js";
import * as keyedRequestRunner from "./keyed-request-runner.js";
import * as localDispatcher from "./local-dispatcher.js";
import * as processContext from "./process-context.js";
import * as request from "./request.js";
import * as router from "./router.js";
import * as ticketIssuer from "./ticket-issuer.js";

export class RequestPath {
    readonly homes: homedServerRegistry.HomedServerRegistry;
    readonly dispatcher: localDispatcher.LocalDispatcher;
    readonly router: router.Router;
    readonly keys: keyedRequestRunner.KeyedRequestRunner;
    readonly tickets: ticketIssuer.TicketIssuer;
    readonly keyedRequestRouter: keyedRequestRouter.KeyedRequestRouter;
    readonly #context: processContext.ProcessContext;
    readonly #control: controlPlane.ControlPlane;

    constructor(context: processContext.ProcessContext, control: controlPlane.ControlPlane) {
        this.#context = context;
        this.#control = control;
        const { settings, metrics, clock, random } = context;
        const answers = new answerCache.AnswerCache(settings.keys.maxAnswerMemoryBytes, settings.keys.rememberMs);
        const readSession = (): string => control.session;
        const readState = (): fleetState.FleetState => control.view.state;
        const shared = { limits: settings.requests, metrics, clock, random };
        this.homes = new homedServerRegistry.HomedServerRegistry({
            maxAnswerBytes: settings.requests.maxAnswerBytes,
            sourceHost: settings.sourceHost,
        });
        this.dispatcher = new localDispatcher.LocalDispatcher({
            ...shared,
            homes: this.homes,
            mayDispatch: () => control.mayDispatch(),
            readState,
        });
        this.router = new router.Router({
            ...shared,
            dispatcher: this.dispatcher,
            directory: control.directory,
            availabilityZone: settings.availabilityZone,
            readSession,
        });
        this.tickets = new ticketIssuer.TicketIssuer({
            answers,
            metrics,
            rememberMs: settings.keys.rememberMs,
            clock,
            run: serviceRequest => this.router.run(serviceRequest, request.neverAborted),
        });
        this.keys = this.#createKeyedRequestRunner(answers, readSession);
        this.keyedRequestRouter = new keyedRequestRouter.KeyedRequestRouter({
            keys: this.keys,
            tickets: this.tickets,
            directory: control.directory,
            clock,
            readState,
            readSession,
        });
    }

    #createKeyedRequestRunner(
        answers: answerCache.AnswerCache,
        readSession: () => string,
    ): keyedRequestRunner.KeyedRequestRunner {
        const { settings, metrics, clock, wallClock } = this.#context;
        const expired = new expiredKeys.ExpiredKeys();
        return new keyedRequestRunner.KeyedRequestRunner({
            table: new fleetState.ClaimTable(settings.keys.rememberMs, key => expired.add(key)),
            expiredKeys: expired,
            stream: this.#control.claimsStream,
            answers,
            metrics,
            rememberMs: settings.keys.rememberMs,
            clock,
            wallClock,
            readSession,
            isLogReachable: () => this.#control.canAppend(this.#control.claimsStream),
            run: serviceRequest => this.router.run(serviceRequest, request.neverAborted),
            queryHolder: (claim, waitMs) => this.keyedRequestRouter.queryHolder(claim, waitMs),
        });
    }

    /** Creates the port for callers, which accepts requests unless `readRefusal` returns a reason. */
    createCallerPort(readRefusal: () => types.Reason | undefined): callerPort.CallerPort {
        return new callerPort.CallerPort({
            limits: this.#context.settings.requests,
            metrics: this.#context.metrics,
            logger: this.#context.createLogger("callers"),
            clock: this.#context.clock,
            readRefusal,
            readState: () => this.#control.view.state,
            runIdempotent: (serviceRequest, signal) => this.router.run(serviceRequest, signal),
            runKeyed: (serviceRequest, key) => this.keyedRequestRouter.run(serviceRequest, key),
            issueTicket: () => this.tickets.issue(this.#control.session, this.#context.clock()),
            describeKey: (key, service) => this.keyedRequestRouter.listOutcomes(key, service),
        });
    }

    /** Applies a change of the fleet state or of the status of peers. */
    sync(): void {
        this.homes.sync(this.#control.view.state, this.#control.session);
        this.dispatcher.sync(this.#control.directory.listEjected());
    }

    /** Drops expired claims, answers and tickets, and the counts of closed sessions. `now` is clock time in ms. */
    expire(now: number): void {
        this.keys.expire(now);
        this.tickets.expire(now);
        this.router.pruneForwardedCounts();
    }
}
