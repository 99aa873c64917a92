/**
 * Routes each keyed request by its key: a ticket to the session that issued it, any other key to the claims in the log.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as callerPort from "./caller-port.js";
import * as idempotencyKey from "./idempotency-key.js";
import * as keyStatus from "./key-status.js";
import * as keyedRequestRunner from "./keyed-request-runner.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";
import * as router from "./router.js";
import * as ticketIssuer from "./ticket-issuer.js";

/** Time in ms added to a peer's waiting time, for the transfer of its answer. */
const answerGraceMs = 250;

export interface KeyedRequestRouterOptions {
    readonly keys: keyedRequestRunner.KeyedRequestRunner;
    readonly tickets: ticketIssuer.TicketIssuer;
    readonly directory: peerDirectory.PeerDirectory;
    readonly clock: () => number;
    readState(): fleetState.FleetState;
    readSession(): string;
}

export class KeyedRequestRouter {
    readonly #options: KeyedRequestRouterOptions;

    constructor(options: KeyedRequestRouterOptions) {
        this.#options = options;
    }

    /** Runs a request at most once under its key. */
    run(serviceRequest: request.ServiceRequest, key: string): Promise<request.RequestResult> {
        const ticket = ticketIssuer.parseTicket(key);
        return ticket === undefined
            ? this.#options.keys.run(serviceRequest, key)
            : this.#runTicket(serviceRequest, key, ticket.session);
    }

    #runTicket(serviceRequest: request.ServiceRequest, key: string, session: string): Promise<request.RequestResult> {
        if (this.#options.tickets.isIssuedHere(key)) {
            return this.#options.tickets.run(serviceRequest, key, this.#options.clock());
        }
        const issuer = this.#options.directory.get(session);
        if (issuer === undefined) {
            return Promise.resolve(request.createUnknown(types.Reason.keyHolderLost));
        }
        return this.#forward(serviceRequest, key, issuer);
    }

    /**
     * Forwards a request to the session that issued its ticket. The issuer may have run an earlier request with the
     * ticket, so the outcome is unknown even if this request was never sent.
     */
    async #forward(
        serviceRequest: request.ServiceRequest,
        key: string,
        issuer: peerDirectory.KnownPeer,
    ): Promise<request.RequestResult> {
        const result = await router.sendToPeer(
            issuer.link,
            serviceRequest,
            request.neverAborted,
            this.#options.clock(),
            key,
        );
        const unsent = result.outcome === types.Outcome.notRun && result.reason === types.Reason.noCapacity;
        return unsent && issuer.link.state !== "connected" ? request.createUnknown(types.Reason.keyHolderLost) : result;
    }

    /** Asks the session that holds a claim for the status of its request; undefined if that session doesn't answer. */
    async queryHolder(claim: fleetState.ClaimState, waitMs: number): Promise<keyStatus.KeyStatus | undefined> {
        const holder = this.#options.directory.get(claim.session);
        if (holder === undefined) {
            return undefined;
        }
        const query = { key: claim.key, requestId: claim.requestId, waitMs: Math.floor(waitMs) };
        const answer = await holder.link.queryKey(query, waitMs + answerGraceMs);
        if (answer.isErr()) {
            return undefined;
        }
        const { state, status, headers, body } = answer.value;
        return {
            state,
            answer: state === "answered" ? { outcome: types.Outcome.answered, status, headers, body } : undefined,
        };
    }

    /** Lists the known outcomes of a key, for one service or for all configured services. */
    async listOutcomes(key: string, service: string | undefined): Promise<readonly callerPort.KnownOutcome[]> {
        const configured = this.#options.readState().configuration?.value.services ?? [];
        const names = service === undefined ? configured.map(candidate => candidate.name) : [service];
        if (ticketIssuer.parseTicket(key) !== undefined) {
            return this.#listTicketOutcomes(key);
        }
        const outcomes = await Promise.all(names.map(name => this.#listScopedOutcomes(name, key)));
        return outcomes.flat();
    }

    async #listScopedOutcomes(service: string, key: string): Promise<callerPort.KnownOutcome[]> {
        const status = await this.#options.keys.getStatus(idempotencyKey.scopeKey(service, key));
        return status === undefined
            ? []
            : [{ service, key, state: status.state, status: status.answer?.status }];
    }

    async #listTicketOutcomes(key: string): Promise<callerPort.KnownOutcome[]> {
        const outcome = await this.#options.tickets.getOutcome(key);
        if (outcome === undefined) {
            return [];
        }
        const status = outcome.result.outcome === types.Outcome.answered ? outcome.result.status : undefined;
        return [{ service: outcome.service, key, state: outcome.result.outcome, status }];
    }
}
