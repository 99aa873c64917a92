/**
 * Sends each keyed request to where its key is known: tickets to their issuer, all other keys to the claims in the log.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as types from "@catkinwharf/types";
import * as callerPort from "./caller-port.js";
import * as keyKeeper from "./key-keeper.js";
import * as keyKnowledge from "./key-knowledge.js";
import * as keyRules from "./key-rules.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";
import * as router from "./router.js";
import * as ticketOffice from "./ticket-office.js";

/** Time in ms that is added to a peer's waiting time for the way back. */
const answerGraceMs = 250;

export interface KeyServiceParts {
    readonly keys: keyKeeper.KeyKeeper;
    readonly tickets: ticketOffice.TicketOffice;
    readonly directory: peerDirectory.PeerDirectory;
    readonly clock: () => number;
    readState(): fleetState.FleetState;
    readSession(): string;
}

export class KeyService {
    readonly #parts: KeyServiceParts;

    constructor(parts: KeyServiceParts) {
        this.#parts = parts;
    }

    /** Runs a request at most once under its key. */
    run(question: request.ServiceRequest, key: string): Promise<request.RequestResult> {
        const ticket = ticketOffice.readTicket(key);
        return ticket === undefined
            ? this.#parts.keys.run(question, key)
            : this.#runTicket(question, key, ticket.session);
    }

    #runTicket(question: request.ServiceRequest, key: string, session: string): Promise<request.RequestResult> {
        if (this.#parts.tickets.isGenuine(key)) {
            return this.#parts.tickets.run(question, key, this.#parts.clock());
        }
        const issuer = this.#parts.directory.get(session);
        if (issuer === undefined) {
            return Promise.resolve(request.createUnknown(types.Reason.keyHolderLost));
        }
        return this.#forward(question, key, issuer);
    }

    /** The issuer may have run the ticket before, so that even a question that was never sent leaves `unknown`. */
    async #forward(
        question: request.ServiceRequest,
        key: string,
        issuer: peerDirectory.KnownPeer,
    ): Promise<request.RequestResult> {
        const result = await router.sendToPeer(issuer.link, question, request.neverAborted, this.#parts.clock(), key);
        const unsent = result.outcome === types.Outcome.notRun && result.reason === types.Reason.noCapacity;
        return unsent && issuer.link.state !== "connected" ? request.createUnknown(types.Reason.keyHolderLost) : result;
    }

    /** Asks the session that holds a claim what became of its request. */
    async askHolder(claim: fleetState.ClaimState, waitMs: number): Promise<keyKnowledge.KeyKnowledge | undefined> {
        const holder = this.#parts.directory.get(claim.session);
        if (holder === undefined) {
            return undefined;
        }
        const question = { key: claim.key, requestId: claim.requestId, waitMs: Math.floor(waitMs) };
        const answer = await holder.link.queryKey(question, waitMs + answerGraceMs);
        if (answer.isErr()) {
            return undefined;
        }
        const { state, status, headers, body } = answer.value;
        return {
            state,
            answer: state === "answered" ? { outcome: types.Outcome.answered, status, headers, body } : undefined,
        };
    }

    /** Outcomes known for a key: of the service asked for, or of each service. */
    async describe(key: string, service: string | undefined): Promise<readonly callerPort.KnownOutcome[]> {
        const configured = this.#parts.readState().configuration?.value.services ?? [];
        const names = service === undefined ? configured.map(candidate => candidate.name) : [service];
        if (ticketOffice.readTicket(key) !== undefined) {
            return this.#describeTicket(key);
        }
        const outcomes = await Promise.all(names.map(name => this.#describeScoped(name, key)));
        return outcomes.flat();
    }

    async #describeScoped(service: string, key: string): Promise<callerPort.KnownOutcome[]> {
        const knowledge = await this.#parts.keys.describe(keyRules.scopeKey(service, key));
        return knowledge === undefined
            ? []
            : [{ service, key, state: knowledge.state, status: knowledge.answer?.status }];
    }

    async #describeTicket(key: string): Promise<callerPort.KnownOutcome[]> {
        const use = await this.#parts.tickets.describe(key);
        if (use === undefined) {
            return [];
        }
        const status = use.result.outcome === types.Outcome.answered ? use.result.status : undefined;
        return [{ service: use.service, key, state: use.result.outcome, status }];
    }
}
