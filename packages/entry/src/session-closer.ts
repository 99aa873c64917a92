/**
 * Closes the sessions of this availability zone whose processes are gone or unreachable, so that the instances homed
 * there get new homes.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as records from "./records.js";

export interface SessionCloserOptions {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordAppender;
    readonly directory: peerDirectory.PeerDirectory;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly availabilityZone: string;
    /** Whether a renewal of this session was confirmed and the log was read to its head within the fence time. */
    isFresh(): boolean;
    readSession(): string;
}

export class SessionCloser {
    readonly #options: SessionCloserOptions;
    readonly #closing = new Set<string>();
    /** Offset of the renewal that was observed by the latest attempt to close each session. */
    readonly #attempts = new Map<string, number>();

    constructor(options: SessionCloserOptions) {
        this.#options = options;
    }

    /**
     * Whether no record that was appended here can close the session. An attempt whose outcome is unknown may take
     * effect until a newer renewal of the session is read.
     */
    canPromiseToKeep(session: string): boolean {
        const state = this.#options.view.state.sessions.get(session);
        return state !== undefined && this.#attempts.get(session) !== state.renewalOffset;
    }

    /** Closes the sessions that may be closed now. `now` is clock time in ms. */
    closeExpiredSessions(now: number): void {
        const closable = fence.listClosableSessions({
            candidates: this.#listCandidates(now),
            fresh: this.#options.isFresh(),
            times: this.#options.times,
        }, now);
        for (const candidate of closable) {
            if (!this.#closing.has(candidate.session)) {
                void this.#close(candidate.session, now);
            }
        }
    }

    #listCandidates(now: number): fence.CloseCandidate[] {
        const { view, directory, availabilityZone } = this.#options;
        return fleetState.openSessionsOfZone(view.state, availabilityZone)
            .filter(session => session.session !== this.#options.readSession())
            .map(session => ({
                session: session.session,
                renewalReadAt: view.renewalReadAt(session.session) ?? now,
                heartbeatAnsweredAt: directory.heartbeatAnsweredAt(session.session),
                reachability: directory.classifyByAnswer(session.session, now),
            }));
    }

    async #close(session: string, now: number): Promise<void> {
        const state = this.#options.view.state.sessions.get(session);
        if (state === undefined) {
            return;
        }
        this.#closing.add(session);
        this.#attempts.set(session, state.renewalOffset);
        const record: schema.log.SessionClosed = {
            ...records.createHeader(this.#options.readSession()),
            kind: "session-closed",
            session,
            observedRenewal: state.renewalOffset,
            reason: "fenced",
        };
        const result = await this.#options.view.propose(
            this.#options.stream,
            record,
            now + this.#options.times.fenceMs,
        );
        this.#closing.delete(session);
        if (!this.#options.view.state.sessions.has(session)) {
            this.#attempts.delete(session);
        }
        if (result.isOk() && result.value.verdict.applied) {
            this.#options.metrics.count("session_events", "closed-other");
            this.#options.logger.warn(
                `Session ${session} was closed: it sent neither renewals nor heartbeats in time.`,
            );
        }
    }
}
