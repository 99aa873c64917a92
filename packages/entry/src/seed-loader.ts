/**
 * Takes the fleet state from peers named in the settings, for a process that starts while the platform is away.
 *
 * All seeds are asked, and the newest state that any of them shows is taken, so that a configuration older than theirs
 * is never in force here. Asking begins when reads of the log fail, and goes on until one has reached its head.
 */
import * as platform from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as logStreams from "./log-streams.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";

/** Time in ms between two rounds of questions. */
const roundMs = 250;
/** Time in ms for a peer's answer. */
const answerTimeoutMs = 2_000;

export interface SeedParts {
    readonly seeds: readonly schema.settings.Listener[];
    readonly identity: peers.PeerIdentity;
    readonly peerKey: string;
    readonly limits: peers.PeerLimits;
    readonly sourceHost: string | undefined;
    readonly view: fleetView.FleetView;
    readonly stream: platform.Stream;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    makeSigns(): peerDirectory.PeerSigns;
}

export class SeedLoader {
    readonly #parts: SeedParts;
    #links: readonly peers.PeerLink[] = [];
    #timer: NodeJS.Timeout | undefined;
    #asking = false;
    #hasState = false;

    constructor(parts: SeedParts) {
        this.#parts = parts;
    }

    /** Whether a state was taken, and every seed has answered or was found out of reach. */
    get hasState(): boolean {
        return this.#hasState;
    }

    start(): void {
        this.#links = this.#parts.seeds.map(seed => this.#connect(seed));
        this.#timer = setInterval(() => void this.#runRound(), roundMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#links.forEach(link => link.close());
    }

    #connect(address: schema.settings.Listener): peers.PeerLink {
        const parts = this.#parts;
        return new peers.PeerLink({
            address,
            expected: undefined,
            identity: parts.identity,
            peerKey: parts.peerKey,
            limits: parts.limits,
            clock: parts.clock,
            counters: parts.metrics.createSink("peer_events", "peers"),
            logger: parts.logger,
            localAddress: parts.sourceHost,
            makeHeartbeat: () => parts.makeSigns(),
            onHeartbeatAnswer: () => undefined,
        });
    }

    async #runRound(): Promise<void> {
        if (this.#parts.stream.freshAt !== undefined) {
            this.stop();
            return;
        }
        if (this.#asking || !(this.#hasState || this.#parts.stream.isOutOfReach)) {
            return;
        }
        this.#asking = true;
        const tried = this.#links.every(link => link.state !== peers.LinkState.connecting);
        const connected = this.#links.filter(link => link.state === peers.LinkState.connected);
        const taken = await Promise.all(connected.map(link => this.#ask(link)));
        this.#hasState ||= tried && taken.includes(true);
        this.#asking = false;
    }

    /** Asks one seed; resolves with whether it has a state. */
    async #ask(link: peers.PeerLink): Promise<boolean> {
        const answer = await link.queryRecords({ from: this.#parts.stream.nextOffset }, answerTimeoutMs);
        return answer.match(records => this.#take(records), error => {
            this.#parts.metrics.count("relays", error.fault);
            return false;
        });
    }

    #take(answer: schema.peer.RecordsAnswer): boolean {
        const { stream, view, clock } = this.#parts;
        const state = answer.snapshot === undefined ? undefined : logStreams.restoreSnapshot(answer.snapshot);
        if (state !== undefined && view.loadState(state, clock())) {
            stream.moveTo(state.nextOffset);
        }
        stream.offer(answer.entries);
        const covered = answer.nextOffset > 0 && stream.nextOffset >= answer.nextOffset;
        if (covered && !this.#hasState) {
            this.#parts.metrics.count("relays", "seed-taken");
            this.#parts.logger.info(`Took the fleet state up to offset ${answer.nextOffset} from a peer.`);
        }
        return covered;
    }
}
