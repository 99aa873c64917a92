/**
 * Connects this process to the rest of the fleet: it follows the log, keeps the session and its fence, and holds the
 * links to peers.
 */
import * as logService from "@catkinwharf/log-service";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as fleetView from "./fleet-view.js";
import * as localSession from "./local-session.js";
import * as logStreams from "./log-streams.js";
import * as pauseDetector from "./pause-detector.js";
import * as peerDirectory from "./peer-directory.js";
import * as peerRecordFetcher from "./peer-record-fetcher.js";
import * as processContext from "./process-context.js";
import * as seedLoader from "./seed-loader.js";
import * as sessionCloser from "./session-closer.js";
import * as zoneReachability from "./zone-reachability.js";

/** Bytes allowed for the framing and headers of a peer message, in addition to its body. */
const frameOverheadBytes = 262_144;
const maxPeerConnections = 1_024;

/** The identity that this process presents to peers. Its session changes when another entry instance closes it. */
class LocalIdentity implements peers.PeerIdentity {
    session = "";
    constructor(readonly entry: string, readonly availabilityZone: string) {}
}

/** Functions of the request path and the process that the control plane calls. */
export interface ControlPlaneCallbacks {
    listDigests(): schema.peer.Digest[];
    listEjected(): readonly string[];
    applyClaims(entries: readonly logService.LogEntry[]): void;
    isLeaving(): boolean;
}

export class ControlPlane {
    readonly identity: LocalIdentity;
    readonly view = new fleetView.FleetView();
    readonly fleetStream: logService.Stream;
    readonly claimsStream: logService.Stream;
    readonly directory: peerDirectory.PeerDirectory;
    readonly peerLimits: peers.PeerLimits;
    readonly #context: processContext.ProcessContext;
    readonly #callbacks: ControlPlaneCallbacks;
    readonly #pauseDetector: pauseDetector.PauseDetector;
    readonly #recordFetcher: peerRecordFetcher.PeerRecordFetcher;
    readonly #seedLoader: seedLoader.SeedLoader;
    #localSession: localSession.LocalSession | undefined;
    #sessionCloser: sessionCloser.SessionCloser | undefined;
    #hasOpenedSession = false;
    #permission: fence.Permission = fence.Permission.fenced;

    constructor(context: processContext.ProcessContext, callbacks: ControlPlaneCallbacks) {
        const { settings, metrics, clock } = context;
        this.#context = context;
        this.#callbacks = callbacks;
        this.#pauseDetector = new pauseDetector.PauseDetector(settings.session.fenceMs / 2, clock());
        this.identity = new LocalIdentity(settings.entry, settings.availabilityZone);
        this.peerLimits = createPeerLimits(settings);
        const streamDependencies = { settings, metrics, logger: context.createLogger("log"), clock };
        this.fleetStream = logStreams.createFleetStream(streamDependencies, this.view);
        this.claimsStream = logStreams.createClaimsStream(
            streamDependencies,
            entries => callbacks.applyClaims(entries),
        );
        const linkOptions = {
            identity: this.identity,
            peerKey: settings.security.peerKey,
            limits: this.peerLimits,
            sourceHost: settings.sourceHost,
            metrics,
            logger: context.createLogger("peers"),
            clock,
            createHeartbeat: () => this.createHeartbeat(),
        };
        this.directory = new peerDirectory.PeerDirectory({ ...linkOptions, times: settings.session });
        this.#recordFetcher = new peerRecordFetcher.PeerRecordFetcher({
            directory: this.directory,
            stream: this.fleetStream,
            metrics,
            availabilityZone: settings.availabilityZone,
            clock,
        });
        this.#seedLoader = new seedLoader.SeedLoader({
            ...linkOptions,
            seeds: settings.seeds ?? [],
            view: this.view,
            stream: this.fleetStream,
        });
    }

    /** Id of the session that is open or being opened. */
    get session(): string {
        return this.identity.session;
    }

    /** Whether the session is open. */
    get isOpen(): boolean {
        return this.#localSession?.isOpen ?? false;
    }

    /** Starts to follow the log and to open a session. */
    start(peerAddress: schema.log.Address, operatorAddress: schema.log.Address): void {
        const { settings, metrics, clock } = this.#context;
        this.#localSession = new localSession.LocalSession({
            view: this.view,
            stream: this.fleetStream,
            times: settings.session,
            metrics,
            logger: this.#context.createLogger("session"),
            clock,
            description: {
                entry: settings.entry,
                availabilityZone: settings.availabilityZone,
                peerAddress,
                operatorAddress,
            },
            onLost: () => this.#reopen(),
        });
        this.identity.session = this.#localSession.session;
        this.#sessionCloser = new sessionCloser.SessionCloser({
            view: this.view,
            stream: this.fleetStream,
            directory: this.directory,
            times: settings.session,
            metrics,
            logger: this.#context.createLogger("session"),
            availabilityZone: settings.availabilityZone,
            isFresh: () => this.isFresh(),
            readSession: () => this.session,
        });
        this.fleetStream.start(0);
        this.claimsStream.start(0);
        this.#recordFetcher.start();
        this.#seedLoader.start();
        void this.#localSession.open().then(() => this.#hasOpenedSession = true);
    }

    /** Opens a new session after another entry instance closed the previous one. */
    #reopen(): void {
        this.identity.session = this.#localSession?.session ?? "";
        this.directory.closeAll();
        void this.#localSession?.open();
    }

    /**
     * Whether the fleet state is recent enough to serve from: it was read to the log's head, or loaded from a seed and
     * is as recent as the state of every connected peer.
     */
    get hasState(): boolean {
        return this.#hasCaughtUp || (this.#seedLoader.hasState && this.#isCaughtUpWithPeers());
    }

    /** Whether requests can be served: by this session or, if the log was unreachable at the start, through peers. */
    get isServing(): boolean {
        return this.#hasOpenedSession ? this.hasState : this.#seedLoader.hasState && this.hasState;
    }

    /** Whether both streams have been read to their heads at least once. */
    get #hasCaughtUp(): boolean {
        return [this.fleetStream, this.claimsStream].every(stream => stream.caughtUpAt !== undefined);
    }

    #isCaughtUpWithPeers(): boolean {
        const applied = this.view.state.nextOffset;
        return this.directory.list()
            .filter(peer => peer.link.state === peers.LinkState.connected)
            .every(peer => peer.status !== undefined && peer.status.appliedOffset <= applied);
    }

    /** Whether a renewal of this session was confirmed and the log was read to its head within the fence time. */
    isFresh(): boolean {
        const readAt = this.fleetStream.caughtUpAt;
        const fenceMs = this.#context.settings.session.fenceMs;
        return this.#permission === fence.Permission.fresh && readAt !== undefined
            && this.#context.clock() - readAt < fenceMs;
    }

    /** Whether no renewal was confirmed within the fence time. */
    get isLogContactLost(): boolean {
        return this.#decidePermission() !== fence.Permission.fresh;
    }

    /** Whether a record appended to the stream now can be expected to be read back. */
    canAppend(stream: logService.Stream): boolean {
        return !this.isLogContactLost && !stream.isUnreachable;
    }

    /** Whether this session may send requests to backend servers now. */
    mayDispatch(): boolean {
        return this.#decidePermission() !== fence.Permission.fenced;
    }

    #decidePermission(): fence.Permission {
        const now = this.#context.clock();
        this.#pauseDetector.observe(now);
        const zonePeers = zoneReachability.listZonePeers(
            this.view.state,
            this.directory,
            this.#context.settings.availabilityZone,
            this.session,
            now,
        );
        return fence.decidePermission({
            confirmedAt: this.#localSession?.confirmedAt,
            resumedAt: this.#pauseDetector.resumedAt,
            zonePeers,
            times: this.#context.settings.session,
        }, now);
    }

    /**
     * Whether this process may promise not to close the session: no closing record that it appended can still take
     * effect, and it will append none within the fence time.
     */
    keepsSession(session: string): boolean {
        return this.#sessionCloser?.canPromiseToKeep(session) ?? false;
    }

    /** Updates the links to peers after a change of the fleet state. */
    sync(): void {
        this.directory.sync(this.view.state, this.session);
    }

    /** Reevaluates the permission to dispatch, and closes sessions that have expired. */
    tick(): void {
        const permission = this.#decidePermission();
        if (permission !== this.#permission) {
            this.#permission = permission;
            this.#context.metrics.count("fence_changes", permission);
            this.#context.createLogger("session").info(`The permission to dispatch changed to ${permission}.`);
        }
        this.#sessionCloser?.closeExpiredSessions(this.#context.clock());
    }

    /** Creates the fields of the heartbeats that are sent to peers. */
    createHeartbeat(): peerDirectory.HeartbeatFields {
        return {
            session: this.session,
            blind: this.isLogContactLost,
            leaving: this.#callbacks.isLeaving(),
            appliedOffset: this.view.state.nextOffset,
        };
    }

    /** Creates the status that is sent to peers in the answers to their heartbeats. */
    createStatus(): peerDirectory.PeerStatus {
        return {
            ...this.createHeartbeat(),
            digests: this.#callbacks.listDigests(),
            ejected: [...this.#callbacks.listEjected()],
        };
    }

    /** Closes the session, sends a goodbye to the peers and stops following the log. */
    async stop(sessionCloseTimeoutMs: number): Promise<void> {
        this.#recordFetcher.stop();
        this.#seedLoader.stop();
        await this.#localSession?.close(sessionCloseTimeoutMs);
        await this.directory.sayGoodbye();
        this.directory.closeAll();
        await Promise.all([this.fleetStream.stop(), this.claimsStream.stop()]);
    }
}

function createPeerLimits(settings: schema.settings.EntrySettings): peers.PeerLimits {
    const { session, requests } = settings;
    return {
        heartbeatMs: session.heartbeatMs,
        timeoutMs: session.peerTimeoutMs,
        maxFrameBytes: Math.max(requests.maxBodyBytes, requests.maxAnswerBytes) + frameOverheadBytes,
        maxConnections: maxPeerConnections,
    };
}
