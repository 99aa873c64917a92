/**
 * Answers the questions of other entry instances.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as fleetView from "./fleet-view.js";
import * as keyKeeper from "./key-keeper.js";
import * as localDispatcher from "./local-dispatcher.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";

export interface QuestionParts {
    readonly directory: peerDirectory.PeerDirectory;
    readonly dispatcher: localDispatcher.LocalDispatcher;
    readonly keys: keyKeeper.KeyedRequestRunner;
    readonly view: fleetView.FleetView;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    makeStatus(): peerDirectory.PeerStatus;
    readSession(): string;
    isStopping(): boolean;
    /** Whether the fleet state held is complete enough for others to start from. */
    hasState(): boolean;
    /** Whether this process has done nothing that may close the session. */
    keepsSession(session: string): boolean;
    /** Runs a request under a ticket that this process issued. */
    runTicket(question: request.ServiceRequest, ticket: string): Promise<request.RequestResult>;
}

const emptyBody = new Uint8Array(0);

/** Creates the handler of each kind of question. */
export function createPeerHandlers(parts: QuestionParts): peers.PeerHandlers {
    return {
        "heartbeat": (message, from) => answerHeartbeat(parts, message, from),
        "dispatch": (message, _from, signal) => answerDispatch(parts, message, signal),
        "key-query": message => answerKeyQuery(parts, message),
        "records-query": message => answerRecordsQuery(parts, message),
        "goodbye": message => parts.directory.recordGoodbye(message.session),
    };
}

function answerHeartbeat(
    parts: QuestionParts,
    message: schema.peer.Heartbeat,
    from: peers.PeerIdentity,
): schema.peer.HeartbeatAnswer {
    const now = parts.clock();
    if (message.session === from.session) {
        parts.directory.applyHeartbeat(message);
        parts.directory.recordHeartbeatAnswered(from.session, now);
    }
    return {
        ...parts.makeStatus(),
        kind: "heartbeat-answer",
        exchange: message.exchange,
        keepsSession: parts.keepsSession(from.session),
    };
}

async function answerDispatch(
    parts: QuestionParts,
    message: schema.peer.Dispatch,
    signal: AbortSignal,
): Promise<schema.peer.DispatchAnswer> {
    const question = readQuestion(message, parts.clock());
    const result = message.ticket === undefined
        ? await parts.dispatcher.run(question, signal)
        : await runTicket(parts, question, message.ticket);
    return request.writeDispatchAnswer(message.exchange, result);
}

function runTicket(
    parts: QuestionParts,
    question: request.ServiceRequest,
    ticket: string,
): Promise<request.RequestResult> {
    return parts.isStopping()
        ? Promise.resolve(request.createNotRun(types.Reason.stopping))
        : parts.runTicket(question, ticket);
}

function readQuestion(message: schema.peer.Dispatch, now: number): request.ServiceRequest {
    return {
        requestId: message.requestId,
        service: message.service,
        method: message.method,
        path: message.path,
        headers: message.headers,
        body: message.body,
        idempotent: message.idempotent,
        urgency: message.urgency,
        deadline: now + message.timeoutMs,
    };
}

async function answerKeyQuery(
    parts: QuestionParts,
    message: schema.peer.KeyQuery,
): Promise<schema.peer.KeyAnswer> {
    const knowledge = await parts.keys.answerQuery(message.key, message.requestId, message.waitMs);
    return {
        kind: "key-answer",
        exchange: message.exchange,
        state: knowledge.state,
        status: knowledge.answer?.status ?? 0,
        headers: [...knowledge.answer?.headers ?? []],
        body: knowledge.answer?.body ?? emptyBody,
    };
}

/** Answers with the records from an offset on, or with a snapshot if they are no longer held. */
function answerRecordsQuery(
    parts: QuestionParts,
    message: schema.peer.RecordsQuery,
): Promise<schema.peer.RecordsAnswer> {
    if (!parts.hasState()) {
        return Promise.resolve({ kind: "records-answer", exchange: message.exchange, entries: [], nextOffset: 0 });
    }
    parts.metrics.count("relays", "given");
    const state = parts.view.state;
    const entries = parts.view.listEntriesFrom(message.from);
    const answer: schema.peer.RecordsAnswer = {
        kind: "records-answer",
        exchange: message.exchange,
        entries: [...entries ?? []],
        nextOffset: state.nextOffset,
    };
    return Promise.resolve(entries === undefined ? { ...answer, snapshot: createSnapshot(parts) } : answer);
}

function createSnapshot(parts: QuestionParts): schema.log.Snapshot {
    const state = parts.view.state;
    return {
        id: `relay-${state.nextOffset}`,
        author: parts.readSession(),
        nextOffset: state.nextOffset,
        hash: fleetState.hashState(state),
        state: fleetState.storeState(state),
    };
}
