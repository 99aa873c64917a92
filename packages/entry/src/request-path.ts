/**
 * The way of a request through this process: keys, routing, local queues and connections to backend servers.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as answerMemory from "./answer-memory.js";
import * as callerPort from "./caller-port.js";
import * as controlPlane from "./control-plane.js";
import * as forgottenKeys from "./forgotten-keys.js";
import * as homeDirectory from "./home-directory.js";
import * as keyKeeper from "./key-keeper.js";
import * as keyService from "./key-service.js";
import * as localDispatcher from "./local-dispatcher.js";
import * as processContext from "./process-context.js";
import * as request from "./request.js";
import * as router from "./router.js";
import * as ticketOffice from "./ticket-office.js";

export class RequestPath {
    readonly homes: homeDirectory.HomeDirectory;
    readonly dispatcher: localDispatcher.LocalDispatcher;
    readonly router: router.Router;
    readonly keys: keyKeeper.KeyKeeper;
    readonly tickets: ticketOffice.TicketOffice;
    readonly keyService: keyService.KeyService;
    readonly #context: processContext.ProcessContext;
    readonly #control: controlPlane.ControlPlane;

    constructor(context: processContext.ProcessContext, control: controlPlane.ControlPlane) {
        this.#context = context;
        this.#control = control;
        const { settings, metrics, clock, random } = context;
        const answers = new answerMemory.AnswerMemory(settings.keys.maxAnswerMemoryBytes, settings.keys.rememberMs);
        const readSession = (): string => control.session;
        const readState = (): fleetState.FleetState => control.view.state;
        const shared = { limits: settings.requests, metrics, clock, random };
        this.homes = new homeDirectory.HomeDirectory({
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
        this.tickets = new ticketOffice.TicketOffice({
            answers,
            metrics,
            rememberMs: settings.keys.rememberMs,
            clock,
            run: question => this.router.run(question, request.neverAborted),
        });
        this.keys = this.#createKeyKeeper(answers, readSession);
        this.keyService = new keyService.KeyService({
            keys: this.keys,
            tickets: this.tickets,
            directory: control.directory,
            clock,
            readState,
            readSession,
        });
    }

    #createKeyKeeper(answers: answerMemory.AnswerMemory, readSession: () => string): keyKeeper.KeyKeeper {
        const { settings, metrics, clock, wallClock } = this.#context;
        const forgotten = new forgottenKeys.ForgottenKeys();
        return new keyKeeper.KeyKeeper({
            table: new fleetState.ClaimTable(settings.keys.rememberMs, key => forgotten.add(key)),
            forgotten,
            stream: this.#control.claimsStream,
            answers,
            metrics,
            rememberMs: settings.keys.rememberMs,
            clock,
            wallClock,
            readSession,
            isLogInReach: () => this.#control.canRecord(this.#control.claimsStream),
            run: question => this.router.run(question, request.neverAborted),
            askHolder: (claim, waitMs) => this.keyService.askHolder(claim, waitMs),
        });
    }

    /** Creates the callers' port, which takes requests unless `readRefusal` names a reason. */
    createCallerPort(readRefusal: () => types.Reason | undefined): callerPort.CallerPort {
        return new callerPort.CallerPort({
            limits: this.#context.settings.requests,
            metrics: this.#context.metrics,
            logger: this.#context.createLogger("callers"),
            clock: this.#context.clock,
            readRefusal,
            readState: () => this.#control.view.state,
            runIdempotent: (question, signal) => this.router.run(question, signal),
            runKeyed: (question, key) => this.keyService.run(question, key),
            issueTicket: () => this.tickets.issue(this.#control.session, this.#context.clock()),
            describeKey: (key, service) => this.keyService.describe(key, service),
        });
    }

    /** Follows a change of the fleet state or of what peers report. */
    sync(): void {
        this.homes.sync(this.#control.view.state, this.#control.session);
        this.dispatcher.sync(this.#control.directory.listEjected());
    }

    /** Forgets what is too old. `now` is clock time in ms. */
    expire(now: number): void {
        this.keys.expire(now);
        this.tickets.expire(now);
        this.router.forgetGoneSessions();
    }
}
