/**
 * Links to the other open sessions, and what their heartbeats tell.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as metrics from "./metrics.js";

/** Heartbeats within an availability zone to one heartbeat to another zone, where fences don't rest on them. */
const otherZoneIntervals = 2;

/** What a heartbeat tells. */
export type PeerSigns = Omit<schema.peer.Heartbeat, "kind" | "exchange">;

/** What the answer to a heartbeat tells, but for its promise. */
export type PeerStatus = Omit<schema.peer.HeartbeatAnswer, "kind" | "exchange" | "keepsSession">;

/** A peer as this process sees it. */
export interface KnownPeer {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
    readonly link: peers.PeerLink;
    /** Newest status; undefined before the first heartbeat. */
    readonly status: PeerStatus | undefined;
    /** Clock time in ms at which the status arrived. */
    readonly statusAt: number;
}

export interface PeerDirectoryParts {
    readonly identity: peers.PeerIdentity;
    readonly peerKey: string;
    readonly limits: peers.PeerLimits;
    readonly sourceHost: string | undefined;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    makeSigns(): PeerSigns;
}

interface PeerRecord {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
    readonly link: peers.PeerLink;
    status: PeerStatus | undefined;
    statusAt: number;
    /** Clock time in ms at which the newest heartbeat was sent whose answer promised to keep the own session. */
    keptAt: number | undefined;
}

export class PeerDirectory {
    readonly #parts: PeerDirectoryParts;
    readonly #peers = new Map<string, PeerRecord>();
    readonly #promisedAt = new Map<string, number>();
    readonly #goodbyes = new Set<string>();

    constructor(parts: PeerDirectoryParts) {
        this.#parts = parts;
    }

    /** Follows the fleet state: a link to each open session but `own`. */
    sync(state: fleetState.FleetState, own: string): void {
        for (const session of state.sessions.values()) {
            if (session.session !== own && !this.#peers.has(session.session)) {
                this.#peers.set(session.session, this.#connect(session));
            }
        }
        for (const [session, record] of this.#peers) {
            if (session === own || !state.sessions.has(session)) {
                record.link.close();
                this.#peers.delete(session);
                this.#goodbyes.delete(session);
                this.#promisedAt.delete(session);
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
            keptAt: undefined,
        };
        return record;
    }

    #createLink(session: fleetState.SessionState): peers.PeerLink {
        const parts = this.#parts;
        return new peers.PeerLink({
            address: session.peerAddress,
            expected: {
                session: session.session,
                entry: session.entry,
                availabilityZone: session.availabilityZone,
            },
            identity: parts.identity,
            peerKey: parts.peerKey,
            limits: this.#createLimits(session.availabilityZone),
            clock: parts.clock,
            counters: parts.metrics.createSink("peer_events", "peers"),
            logger: parts.logger,
            localAddress: parts.sourceHost,
            makeHeartbeat: () => parts.makeSigns(),
            onHeartbeatAnswer: (answer, sentAt, receivedAt) => this.#noteAnswer(answer, sentAt, receivedAt),
        });
    }

    #noteAnswer(answer: schema.peer.HeartbeatAnswer, sentAt: number, receivedAt: number): void {
        this.noteStatus(answer, receivedAt);
        const record = this.#peers.get(answer.session);
        if (record !== undefined && answer.keepsSession) {
            record.keptAt = sentAt;
        }
    }

    #createLimits(availabilityZone: string): peers.PeerLimits {
        const { limits, identity } = this.#parts;
        const intervals = availabilityZone === identity.availabilityZone ? 1 : otherZoneIntervals;
        return { ...limits, heartbeatMs: limits.heartbeatMs * intervals };
    }

    /** Closes all links, because this process goes on under a new session or ends. */
    closeAll(): void {
        for (const record of this.#peers.values()) {
            record.link.close();
        }
        this.#peers.clear();
    }

    /** Takes what a heartbeat tells; the load stays as the newest answer told it. */
    noteSigns(signs: PeerSigns): void {
        const record = this.#peers.get(signs.session);
        if (record?.status !== undefined) {
            record.status = {
                ...record.status,
                blind: signs.blind,
                leaving: signs.leaving,
                appliedOffset: signs.appliedOffset,
            };
        }
    }

    /** Takes a status from the answer to a heartbeat. */
    noteStatus(status: PeerStatus, now: number): void {
        const record = this.#peers.get(status.session);
        if (record !== undefined) {
            record.status = status;
            record.statusAt = now;
        }
    }

    /** Remembers that a heartbeat of `session` was answered: for the fence time it won't be closed from here. */
    notePromise(session: string, now: number): void {
        this.#promisedAt.set(session, now);
    }

    /** Clock time in ms of the newest heartbeat of `session` that was answered here. */
    promisedAt(session: string): number | undefined {
        return this.#promisedAt.get(session);
    }

    noteGoodbye(session: string): void {
        this.#goodbyes.add(session);
    }

    get(session: string): KnownPeer | undefined {
        return this.#peers.get(session);
    }

    list(): readonly KnownPeer[] {
        return [...this.#peers.values()];
    }

    /** Contact to one session: whether its process lives. */
    contact(session: string, now: number): fence.Contact {
        return this.#classify(session, this.#peers.get(session)?.link.lastAnsweredAt, now);
    }

    /** Contact to one session as far as it promises not to close the own one. */
    shelter(session: string, now: number): fence.Contact {
        return this.#classify(session, this.#peers.get(session)?.keptAt, now);
    }

    #classify(session: string, answeredAt: number | undefined, now: number): fence.Contact {
        const state = this.#peers.get(session)?.link.state;
        const gone = this.#goodbyes.has(session) || state === "refused" || state === "strange";
        const known = state !== undefined;
        return fence.classifyContact({ gone: known && gone, answeredAt }, this.#parts.times, now);
    }

    /** Instances that peers report as ejected. */
    listEjected(): ReadonlySet<string> {
        return new Set(this.list().flatMap(peer => peer.status?.ejected ?? []));
    }

    async sayGoodbye(): Promise<void> {
        await Promise.all(this.list().map(peer => peer.link.sayGoodbye()));
    }
}
