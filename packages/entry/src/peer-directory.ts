/**
 * Links to the other open sessions, and the status that their heartbeats report.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as metrics from "./metrics.js";

/**
 * Factor by which the heartbeat interval to other availability zones is longer than within the zone. Fences depend only
 * on heartbeats within the zone.
 */
const otherZoneIntervalFactor = 2;

/** Fields of a heartbeat that its sender sets. */
export type HeartbeatFields = Omit<schema.peer.Heartbeat, "kind" | "exchange">;

/** Fields of the answer to a heartbeat, except its promise to keep the session. */
export type PeerStatus = Omit<schema.peer.HeartbeatAnswer, "kind" | "exchange" | "keepsSession">;

/** A peer as this process knows it. */
export interface KnownPeer {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
    readonly link: peers.PeerLink;
    /** Newest status; undefined before the first answer to a heartbeat. */
    readonly status: PeerStatus | undefined;
    /** Clock time in ms at which the status arrived. */
    readonly statusAt: number;
}

export interface PeerDirectoryOptions {
    readonly identity: peers.PeerIdentity;
    readonly peerKey: string;
    readonly limits: peers.PeerLimits;
    readonly sourceHost: string | undefined;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    createHeartbeat(): HeartbeatFields;
}

interface PeerRecord {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
    readonly link: peers.PeerLink;
    status: PeerStatus | undefined;
    statusAt: number;
    /** Clock time in ms at which the newest heartbeat was sent whose answer promised not to close this session. */
    promisedHeartbeatSentAt: number | undefined;
}

export class PeerDirectory {
    readonly #options: PeerDirectoryOptions;
    readonly #peers = new Map<string, PeerRecord>();
    /** Clock time in ms at which a heartbeat of each session was last answered here. */
    readonly #heartbeatAnsweredAt = new Map<string, number>();
    /** Sessions that sent a goodbye. */
    readonly #goodbyes = new Set<string>();

    constructor(options: PeerDirectoryOptions) {
        this.#options = options;
    }

    /** Follows the fleet state: keeps a link to each open session except `ownSession`. */
    sync(state: fleetState.FleetState, ownSession: string): void {
        for (const session of state.sessions.values()) {
            if (session.session !== ownSession && !this.#peers.has(session.session)) {
                this.#peers.set(session.session, this.#connect(session));
            }
        }
        for (const [session, record] of this.#peers) {
            if (session === ownSession || !state.sessions.has(session)) {
                record.link.close();
                this.#peers.delete(session);
                this.#goodbyes.delete(session);
                this.#heartbeatAnsweredAt.delete(session);
            }
        }
    }

    #connect(session: fleetState.SessionState): PeerRecord {
        const record: PeerRecord = {
            session: session.session,
            entry: session.entry,
            availabilityZone: session.availabilityZone,
            link: this.#createLink(session),
            status: undefined,
            statusAt: 0,
            promisedHeartbeatSentAt: undefined,
        };
        return record;
    }

    #createLink(session: fleetState.SessionState): peers.PeerLink {
        const options = this.#options;
        return new peers.PeerLink({
            address: session.peerAddress,
            expected: {
                session: session.session,
                entry: session.entry,
                availabilityZone: session.availabilityZone,
            },
            identity: options.identity,
            peerKey: options.peerKey,
            limits: this.#createLimits(session.availabilityZone),
            clock: options.clock,
            counters: options.metrics.createSink("peer_events", "peers"),
            logger: options.logger,
            localAddress: options.sourceHost,
            makeHeartbeat: () => options.createHeartbeat(),
            onHeartbeatAnswer: (answer, sentAt, receivedAt) => this.#applyHeartbeatAnswer(answer, sentAt, receivedAt),
        });
    }

    #applyHeartbeatAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void {
        this.applyStatus(answer, receivedAt);
        const record = this.#peers.get(answer.session);
        if (record !== undefined && answer.keepsSession) {
            record.promisedHeartbeatSentAt = sentAt;
        }
    }

    #createLimits(availabilityZone: string): peers.PeerLimits {
        const { limits, identity } = this.#options;
        const intervalFactor = availabilityZone === identity.availabilityZone ? 1 : otherZoneIntervalFactor;
        return { ...limits, heartbeatMs: limits.heartbeatMs * intervalFactor };
    }

    /** Closes all links, because this process opens a new session or ends. */
    closeAll(): void {
        for (const record of this.#peers.values()) {
            record.link.close();
        }
        this.#peers.clear();
    }

    /** Updates a peer's status from its heartbeat, which contains no load; the load of the newest answer stays. */
    applyHeartbeat(heartbeat: HeartbeatFields): void {
        const record = this.#peers.get(heartbeat.session);
        if (record?.status !== undefined) {
            record.status = {
                ...record.status,
                blind: heartbeat.blind,
                leaving: heartbeat.leaving,
                appliedOffset: heartbeat.appliedOffset,
            };
        }
    }

    /** Replaces a peer's status by that of an answer to a heartbeat. */
    applyStatus(status: PeerStatus, now: number): void {
        const record = this.#peers.get(status.session);
        if (record !== undefined) {
            record.status = status;
            record.statusAt = now;
        }
    }

    /** Records that a heartbeat of `session` was answered; this process won't close it within the fence time. */
    recordHeartbeatAnswered(session: string, now: number): void {
        this.#heartbeatAnsweredAt.set(session, now);
    }

    /** Clock time in ms at which a heartbeat of `session` was last answered here; undefined if none was. */
    heartbeatAnsweredAt(session: string): number | undefined {
        return this.#heartbeatAnsweredAt.get(session);
    }

    recordGoodbye(session: string): void {
        this.#goodbyes.add(session);
    }

    get(session: string): KnownPeer | undefined {
        return this.#peers.get(session);
    }

    list(): readonly KnownPeer[] {
        return [...this.#peers.values()];
    }

    /** Reachability of a session by any answer to a heartbeat: whether its process is alive. */
    classifyByAnswer(session: string, now: number): fence.PeerReachability {
        return this.#classify(session, this.#peers.get(session)?.link.lastAliveAt, now);
    }

    /** Reachability of a session by those answers only that promise not to close this session. */
    classifyByPromise(session: string, now: number): fence.PeerReachability {
        return this.#classify(session, this.#peers.get(session)?.promisedHeartbeatSentAt, now);
    }

    #classify(session: string, answeredHeartbeatSentAt: number | undefined, now: number): fence.PeerReachability {
        const state = this.#peers.get(session)?.link.state;
        const gone = this.#goodbyes.has(session) || state === "refused" || state === "strange";
        const known = state !== undefined;
        return fence.classifyPeer({ gone: known && gone, answeredHeartbeatSentAt }, this.#options.times, now);
    }

    /** Instances that peers report as ejected. */
    listEjected(): ReadonlySet<string> {
        return new Set(this.list().flatMap(peer => peer.status?.ejected ?? []));
    }

    async sayGoodbye(): Promise<void> {
        await Promise.all(this.list().map(peer => peer.link.sendGoodbye()));
    }
}
