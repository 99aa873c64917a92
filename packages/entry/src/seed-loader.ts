/**
 * Loads the fleet state from seed peers, which the settings name, when this process starts while the platform is
 * unreachable.
 *
 * All seeds are queried and the newest state is loaded, so that this process never applies a configuration older than
 * theirs. Queries start when reads of the log fail, and go on until a read has reached the head of the log.
 */
import * as logService from "@catkinwharf/log-service";
import * as logger from "@catkinwharf/logger";
import * as peers from "@catkinwharf/peers";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as logStreams from "./log-streams.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";

/** Time in ms between rounds; a round is skipped while the previous one still runs. */
const roundIntervalMs = 250;
/** Time limit in ms for a seed's answer. */
const answerTimeoutMs = 2_000;

export interface SeedLoaderOptions {
    readonly seeds: readonly schema.settings.Listener[];
    readonly identity: peers.PeerIdentity;
    readonly peerKey: string;
    readonly limits: peers.PeerLimits;
    readonly sourceHost: string | undefined;
    readonly view: fleetView.FleetView;
    readonly stream: logService.Stream;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly clock: () => number;
    createHeartbeat(): peerDirectory.HeartbeatFields;
}

export class SeedLoader {
    readonly #options: SeedLoaderOptions;
    #links: readonly peers.PeerLink[] = [];
    #timer: NodeJS.Timeout | undefined;
    #isQuerying = false;
    #hasState = false;

    constructor(options: SeedLoaderOptions) {
        this.#options = options;
    }

    /** Whether a state was loaded after the connection to every seed had been established or had failed. */
    get hasState(): boolean {
        return this.#hasState;
    }

    start(): void {
        this.#links = this.#options.seeds.map(seed => this.#connect(seed));
        this.#timer = setInterval(() => void this.#runRound(), roundIntervalMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#links.forEach(link => link.close());
    }

    #connect(address: schema.settings.Listener): peers.PeerLink {
        const options = this.#options;
        return new peers.PeerLink({
            address,
            expected: undefined,
            identity: options.identity,
            peerKey: options.peerKey,
            limits: options.limits,
            clock: options.clock,
            counters: options.metrics.createSink("peer_events", "peers"),
            logger: options.logger,
            localAddress: options.sourceHost,
            makeHeartbeat: () => options.createHeartbeat(),
            onHeartbeatAnswer: () => undefined,
        });
    }

    async #runRound(): Promise<void> {
        if (this.#options.stream.caughtUpAt !== undefined) {
            this.stop();
            return;
        }
        if (this.#isQuerying || !(this.#hasState || this.#options.stream.isUnreachable)) {
            return;
        }
        this.#isQuerying = true;
        const allDialed = this.#links.every(link => link.state !== peers.LinkState.connecting);
        const connected = this.#links.filter(link => link.state === peers.LinkState.connected);
        const loaded = await Promise.all(connected.map(link => this.#query(link)));
        this.#hasState ||= allDialed && loaded.includes(true);
        this.#isQuerying = false;
    }

    /** Queries one seed; resolves with whether this process has applied all that the seed has applied. */
    async #query(link: peers.PeerLink): Promise<boolean> {
        const answer = await link.queryRecords({ from: this.#options.stream.nextOffset }, answerTimeoutMs);
        return answer.match(records => this.#applyAnswer(records), error => {
            this.#options.metrics.count("relays", error.fault);
            return false;
        });
    }

    #applyAnswer(answer: schema.peer.RecordsAnswer): boolean {
        const { stream, view, clock } = this.#options;
        const state = answer.snapshot === undefined ? undefined : logStreams.restoreSnapshot(answer.snapshot);
        if (state !== undefined && view.loadState(state, clock())) {
            stream.skipTo(state.nextOffset);
        }
        stream.deliverPeerEntries(answer.entries);
        const isCaughtUp = answer.nextOffset > 0 && stream.nextOffset >= answer.nextOffset;
        if (isCaughtUp && !this.#hasState) {
            this.#options.metrics.count("relays", "seed-taken");
            this.#options.logger.info(`Loaded the fleet state up to offset ${answer.nextOffset} from a seed.`);
        }
        return isCaughtUp;
    }
}
