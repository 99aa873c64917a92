/**
 * Fetches log records from peers of the same availability zone when this process's own path to the log lags.
 */
import * as platform from "@catkinwharf/log-service";
import * as peers from "@catkinwharf/peers";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";

/** Time in ms between looks at what peers have applied. */
const lookMs = 250;
/** Time in ms for a peer's answer. */
const answerTimeoutMs = 1_000;

export interface RelayParts {
    readonly directory: peerDirectory.PeerDirectory;
    readonly stream: platform.Stream;
    readonly metrics: metrics.Metrics;
    readonly availabilityZone: string;
    readonly clock: () => number;
}

export class RecordRelay {
    readonly #parts: RelayParts;
    #timer: NodeJS.Timeout | undefined;
    #fetching = false;

    constructor(parts: RelayParts) {
        this.#parts = parts;
    }

    start(): void {
        this.#timer = setInterval(() => void this.#look(), lookMs);
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    async #look(): Promise<void> {
        const source = this.#findSource();
        if (this.#fetching || source === undefined) {
            return;
        }
        this.#fetching = true;
        await this.#fetch(source);
        this.#fetching = false;
    }

    /** A peer that has applied more, while the own path brought nothing for a while. */
    #findSource(): peers.PeerLink | undefined {
        const { stream, clock, directory, availabilityZone } = this.#parts;
        const silentMs = clock() - (stream.freshAt ?? Number.NEGATIVE_INFINITY);
        if (silentMs < lookMs) {
            return undefined;
        }
        return directory.list()
            .filter(peer => peer.availabilityZone === availabilityZone && peer.link.state === "connected")
            .find(peer => (peer.status?.appliedOffset ?? 0) > stream.nextOffset)?.link;
    }

    async #fetch(link: peers.PeerLink): Promise<void> {
        const answer = await link.queryRecords({ from: this.#parts.stream.nextOffset }, answerTimeoutMs);
        answer.match(records => {
            this.#parts.metrics.count("relays", "taken");
            this.#parts.stream.offer(records.entries);
        }, error => this.#parts.metrics.count("relays", error.fault));
    }
}
