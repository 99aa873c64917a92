/**
 * Handles the messages of other entry instances.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as types from "@catkinwharf/types";
import * as fleetView from "./fleet-view.js";
import * as keyedRequestRunner from "./keyed-request-runner.js";
import * as localDispatcher from "./local-dispatcher.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as request from "./request.js";

export interface PeerHandlersOptions {
    readonly directory: peerDirectory.PeerDirectory;
    readonly dispatcher: localDispatcher.LocalDispatcher;
    readonly keys: keyedRequestRunner.KeyedRequestRunner;
    readonly view: fleetView.FleetView;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    createStatus(): peerDirectory.PeerStatus;
    readSession(): string;
    isStopping(): boolean;
    /** Whether the fleet state is recent enough for other processes to start from. */
    hasState(): boolean;
    /** Whether this process may promise not to close the session. */
    keepsSession(session: string): boolean;
    /** Runs a request under a ticket issued by this process. */
    runTicket(serviceRequest: request.ServiceRequest, ticket: string): Promise<request.RequestResult>;
}

const emptyBody = new Uint8Array(0);

/** Creates the handler for each kind of message. */
export function createPeerHandlers(options: PeerHandlersOptions): peers.PeerHandlers {
    return {
        "heartbeat": (message, from) => handleHeartbeat(options, message, from),
        "dispatch": (message, _from, signal) => handleDispatch(options, message, signal),
        "key-query": message => handleKeyQuery(options, message),
        "records-query": message => handleRecordsQuery(options, message),
        "goodbye": message => options.directory.recordGoodbye(message.session),
    };
}

function handleHeartbeat(
    options: PeerHandlersOptions,
    message: schema.peer.Heartbeat,
    from: peers.PeerIdentity,
): schema.peer.HeartbeatAnswer {
    const now = options.clock();
    if (message.session === from.session) {
        options.directory.applyHeartbeat(message);
        options.directory.recordHeartbeatAnswered(from.session, now);
    }
    return {
        ...options.createStatus(),
        kind: "heartbeat-answer",
        exchange: message.exchange,
        keepsSession: options.keepsSession(from.session),
    };
}

async function handleDispatch(
    options: PeerHandlersOptions,
    message: schema.peer.Dispatch,
    signal: AbortSignal,
): Promise<schema.peer.DispatchAnswer> {
    const serviceRequest = toServiceRequest(message, options.clock());
    const result = message.ticket === undefined
        ? await options.dispatcher.run(serviceRequest, signal)
        : await runTicket(options, serviceRequest, message.ticket);
    return request.writeDispatchAnswer(message.exchange, result);
}

function runTicket(
    options: PeerHandlersOptions,
    serviceRequest: request.ServiceRequest,
    ticket: string,
): Promise<request.RequestResult> {
    return options.isStopping()
        ? Promise.resolve(request.createNotRun(types.Reason.stopping))
        : options.runTicket(serviceRequest, ticket);
}

function toServiceRequest(message: schema.peer.Dispatch, now: number): request.ServiceRequest {
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

async function handleKeyQuery(
    options: PeerHandlersOptions,
    message: schema.peer.KeyQuery,
): Promise<schema.peer.KeyAnswer> {
    const keyStatus = await options.keys.answerQuery(message.key, message.requestId, message.waitMs);
    return {
        kind: "key-answer",
        exchange: message.exchange,
        state: keyStatus.state,
        status: keyStatus.answer?.status ?? 0,
        headers: [...keyStatus.answer?.headers ?? []],
        body: keyStatus.answer?.body ?? emptyBody,
    };
}

/** Answers with the records from an offset on, or with a snapshot if these records are no longer in memory. */
function handleRecordsQuery(
    options: PeerHandlersOptions,
    message: schema.peer.RecordsQuery,
): Promise<schema.peer.RecordsAnswer> {
    if (!options.hasState()) {
        return Promise.resolve({ kind: "records-answer", exchange: message.exchange, entries: [], nextOffset: 0 });
    }
    options.metrics.count("relays", "given");
    const state = options.view.state;
    const entries = options.view.listEntriesFrom(message.from);
    const answer: schema.peer.RecordsAnswer = {
        kind: "records-answer",
        exchange: message.exchange,
        entries: [...entries ?? []],
        nextOffset: state.nextOffset,
    };
    return Promise.resolve(entries === undefined ? { ...answer, snapshot: createSnapshot(options) } : answer);
}

function createSnapshot(options: PeerHandlersOptions): schema.log.Snapshot {
    const state = options.view.state;
    return {
        id: `relay-${state.nextOffset}`,
        author: options.readSession(),
        nextOffset: state.nextOffset,
        hash: fleetState.hashState(state),
        state: fleetState.storeState(state),
    };
}
