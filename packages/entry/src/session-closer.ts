/**
 * Closes the sessions of the own availability zone whose processes are gone, so that their homes pass on.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logger from "@catkinwharf/logger";
import * as schema from "@catkinwharf/schema";
import * as fence from "./fence.js";
import * as fleetView from "./fleet-view.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as records from "./records.js";

export interface CloserParts {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordStream;
    readonly directory: peerDirectory.PeerDirectory;
    readonly times: schema.settings.SessionTimes;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly availabilityZone: string;
    /** Whether the own renewal is confirmed and the reads reach the head. */
    isFresh(): boolean;
    readSession(): string;
}

export class SessionCloser {
    readonly #parts: CloserParts;
    readonly #closing = new Set<string>();
    /** Offset of the renewal that the newest try to close each session observed. */
    readonly #tried = new Map<string, number>();

    constructor(parts: CloserParts) {
        this.#parts = parts;
    }

    /**
     * Whether nothing that was appended here can close the session. A try to close it whose outcome is unknown may
     * take effect until a newer renewal is read.
     */
    keeps(session: string): boolean {
        const state = this.#parts.view.state.sessions.get(session);
        return state !== undefined && this.#tried.get(session) !== state.renewalOffset;
    }

    /** Closes what may be closed. `now` is clock time in ms. */
    look(now: number): void {
        const closable = fence.listClosable({
            candidates: this.#listCandidates(now),
            fresh: this.#parts.isFresh(),
            times: this.#parts.times,
        }, now);
        for (const candidate of closable) {
            if (!this.#closing.has(candidate.session)) {
                void this.#close(candidate.session, now);
            }
        }
    }

    #listCandidates(now: number): fence.CloseCandidate[] {
        const { view, directory, availabilityZone } = this.#parts;
        return fleetState.openSessionsOfZone(view.state, availabilityZone)
            .filter(session => session.session !== this.#parts.readSession())
            .map(session => ({
                session: session.session,
                renewalReadAt: view.renewalReadAt(session.session) ?? now,
                promisedAt: directory.promisedAt(session.session),
                contact: directory.contact(session.session, now),
            }));
    }

    async #close(session: string, now: number): Promise<void> {
        const state = this.#parts.view.state.sessions.get(session);
        if (state === undefined) {
            return;
        }
        this.#closing.add(session);
        this.#tried.set(session, state.renewalOffset);
        const record: schema.log.SessionClosed = {
            ...records.createHeader(this.#parts.readSession()),
            kind: "session-closed",
            session,
            observedRenewal: state.renewalOffset,
            reason: "fenced",
        };
        const settled = await this.#parts.view.propose(this.#parts.stream, record, now + this.#parts.times.fenceMs);
        this.#closing.delete(session);
        if (!this.#parts.view.state.sessions.has(session)) {
            this.#tried.delete(session);
        }
        if (settled.isOk() && settled.value.verdict.applied) {
            this.#parts.metrics.count("session_events", "closed-other");
            this.#parts.logger.warn(`Session ${session} was closed: no sign of it for too long.`);
        }
    }
}
