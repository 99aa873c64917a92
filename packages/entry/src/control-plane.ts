/**
 * What this process agrees on with the others: the fleet state, its session and fence, and its links to peers.
 */
import * as platform from "@catkinwharf/log-service";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as fleetView from "./fleet-view.js";
import * as logStreams from "./log-streams.js";
import * as pauseDetector from "./pause-detector.js";
import * as peerDirectory from "./peer-directory.js";
import * as processContext from "./process-context.js";
import * as recordRelay from "./record-relay.js";
import * as seedLoader from "./seed-loader.js";
import * as sessionCloser from "./session-closer.js";
import * as sessionKeeper from "./session-keeper.js";
import * as zoneContacts from "./zone-contacts.js";

/** Bytes of framing and headers that a peer message may have besides its body. */
const frameOverheadBytes = 262_144;
const maxPeerConnections = 1_024;

/** The identity under which peers know this process; its session changes when another closed it. */
class OwnIdentity implements peers.PeerIdentity {
    session = "";
    constructor(readonly entry: string, readonly availabilityZone: string) {}
}

/** What the control plane takes from the request path. */
export interface LoadSource {
    listDigests(): schema.peer.Digest[];
    listEjected(): readonly string[];
    applyClaims(entries: readonly platform.LogEntry[]): void;
    isLeaving(): boolean;
}

export class ControlPlane {
    readonly identity: OwnIdentity;
    readonly view = new fleetView.FleetView();
    readonly fleetStream: platform.Stream;
    readonly claimsStream: platform.Stream;
    readonly directory: peerDirectory.PeerDirectory;
    readonly peerLimits: peers.PeerLimits;
    readonly #context: processContext.ProcessContext;
    readonly #load: LoadSource;
    readonly #pauses: pauseDetector.PauseDetector;
    readonly #relay: recordRelay.RecordRelay;
    readonly #seeds: seedLoader.SeedLoader;
    #keeper: sessionKeeper.SessionKeeper | undefined;
    #closer: sessionCloser.SessionCloser | undefined;
    #hasOpened = false;
    #permission: fence.Permission = fence.Permission.fenced;

    constructor(context: processContext.ProcessContext, load: LoadSource) {
        const { settings, metrics, clock } = context;
        this.#context = context;
        this.#load = load;
        this.#pauses = new pauseDetector.PauseDetector(settings.session.fenceMs / 2, clock());
        this.identity = new OwnIdentity(settings.entry, settings.availabilityZone);
        this.peerLimits = createPeerLimits(settings);
        const streamParts = { settings, metrics, logger: context.createLogger("log"), clock };
        this.fleetStream = logStreams.createFleetStream(streamParts, this.view);
        this.claimsStream = logStreams.createClaimsStream(streamParts, entries => load.applyClaims(entries));
        const linkParts = {
            identity: this.identity,
            peerKey: settings.security.peerKey,
            limits: this.peerLimits,
            sourceHost: settings.sourceHost,
            metrics,
            logger: context.createLogger("peers"),
            clock,
            makeSigns: () => this.makeSigns(),
        };
        this.directory = new peerDirectory.PeerDirectory({ ...linkParts, times: settings.session });
        this.#relay = new recordRelay.RecordRelay({
            directory: this.directory,
            stream: this.fleetStream,
            metrics,
            availabilityZone: settings.availabilityZone,
            clock,
        });
        this.#seeds = new seedLoader.SeedLoader({
            ...linkParts,
            seeds: settings.seeds ?? [],
            view: this.view,
            stream: this.fleetStream,
        });
    }

    /** Id of the session that is open or will be opened. */
    get session(): string {
        return this.identity.session;
    }

    /** Whether the session is open. */
    get isOpen(): boolean {
        return this.#keeper?.isOpen ?? false;
    }

    /** Begins to follow the log and to open a session. */
    start(peerAddress: schema.log.Address, operatorAddress: schema.log.Address): void {
        const { settings, metrics, clock } = this.#context;
        this.#keeper = new sessionKeeper.SessionKeeper({
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
        this.identity.session = this.#keeper.session;
        this.#closer = new sessionCloser.SessionCloser({
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
        this.#relay.start();
        this.#seeds.start();
        void this.#keeper.open().then(() => this.#hasOpened = true);
    }

    /** Goes on under a new session after another closed the old one. */
    #reopen(): void {
        this.identity.session = this.#keeper?.session ?? "";
        this.directory.closeAll();
        void this.#keeper?.open();
    }

    /** Whether the state held may be served from: read to the head of the log, or as new as any peer shows. */
    get hasState(): boolean {
        return this.#hasCaughtUp || (this.#seeds.hasState && this.#isLevelWithPeers());
    }

    /** Whether requests can be served: under an own session, or by the peers as long as the log is away. */
    get isServing(): boolean {
        return this.#hasOpened ? this.hasState : this.#seeds.hasState && this.hasState;
    }

    /** Whether both streams have been read up to the head that the platform told first. */
    get #hasCaughtUp(): boolean {
        return [this.fleetStream, this.claimsStream].every(stream => stream.freshAt !== undefined);
    }

    #isLevelWithPeers(): boolean {
        const applied = this.view.state.nextOffset;
        return this.directory.list()
            .filter(peer => peer.link.state === peers.LinkState.connected)
            .every(peer => peer.status !== undefined && peer.status.appliedOffset <= applied);
    }

    /** Whether the own renewal is confirmed, and the log was read to its head, within the fence time. */
    isFresh(): boolean {
        const readAt = this.fleetStream.freshAt;
        const fenceMs = this.#context.settings.session.fenceMs;
        return this.#permission === fence.Permission.fresh && readAt !== undefined
            && this.#context.clock() - readAt < fenceMs;
    }

    /** Whether contact with the log is lost. */
    get isBlind(): boolean {
        return this.#decidePermission() !== fence.Permission.fresh;
    }

    /** Whether a record that is appended to the stream now could be read back. */
    canRecord(stream: platform.Stream): boolean {
        return !this.isBlind && !stream.isOutOfReach;
    }

    /** Whether this session may send a request to a backend server at this moment. */
    mayDispatch(): boolean {
        return this.#decidePermission() !== fence.Permission.fenced;
    }

    #decidePermission(): fence.Permission {
        const now = this.#context.clock();
        this.#pauses.look(now);
        const contacts = zoneContacts.listContacts(
            this.view.state,
            this.directory,
            this.#context.settings.availabilityZone,
            this.session,
            now,
        );
        return fence.decidePermission({
            confirmedAt: this.#keeper?.confirmedAt,
            resumedAt: this.#pauses.resumedAt,
            zoneContacts: contacts,
            times: this.#context.settings.session,
        }, now);
    }

    /** Whether nothing that was appended here can close the session, and nothing will for the fence time. */
    keepsSession(session: string): boolean {
        return this.#closer?.keeps(session) ?? false;
    }

    /** Follows a change of the fleet state. */
    sync(): void {
        this.directory.sync(this.view.state, this.session);
    }

    /** Looks at the fence and at sessions that may be closed. */
    tick(): void {
        const permission = this.#decidePermission();
        if (permission !== this.#permission) {
            this.#permission = permission;
            this.#context.metrics.count("fence_changes", permission);
            this.#context.createLogger("session").info(`Permission to dispatch is now: ${permission}.`);
        }
        this.#closer?.look(this.#context.clock());
    }

    /** What heartbeats tell peers. */
    makeSigns(): peerDirectory.PeerSigns {
        return {
            session: this.session,
            blind: this.isBlind,
            leaving: this.#load.isLeaving(),
            appliedOffset: this.view.state.nextOffset,
        };
    }

    /** What the answers to heartbeats tell peers. */
    makeStatus(): peerDirectory.PeerStatus {
        return {
            ...this.makeSigns(),
            digests: this.#load.listDigests(),
            ejected: [...this.#load.listEjected()],
        };
    }

    /** Closes the session, takes leave of the peers and stops following the log. */
    async stop(goodbyeTimeoutMs: number): Promise<void> {
        this.#relay.stop();
        this.#seeds.stop();
        await this.#keeper?.close(goodbyeTimeoutMs);
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
