/**
 * Fetches log records from a peer of the same availability zone when this process's own reads of the log fall behind
 * that peer.
 */
import * as logService from "@catkinwharf/log-service";
import * as peers from "@catkinwharf/peers";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";

/** Time in ms between comparisons with the offsets that peers have applied. */
const pollIntervalMs = 250;
/** Time limit in ms for a peer's answer. */
const answerTimeoutMs = 1_000;

export interface PeerRecordFetcherOptions {
    readonly directory: peerDirectory.PeerDirectory;
    readonly stream: logService.Stream;
    readonly metrics: metrics.Metrics;
    readonly availabilityZone: string;
    readonly clock: () => number;
}

export class PeerRecordFetcher {
    readonly #options: PeerRecordFetcherOptions;
    #timer: NodeJS.Timeout | undefined;
    #fetching = false;

    constructor(options: PeerRecordFetcherOptions) {
        this.#options = options;
    }

    start(): void {
        this.#timer = setInterval(() => void this.#fetchIfBehind(), pollIntervalMs);
    }

    stop(): void {
        clearInterval(this.#timer);
    }

    async #fetchIfBehind(): Promise<void> {
        const source = this.#findSource();
        if (this.#fetching || source === undefined) {
            return;
        }
        this.#fetching = true;
        await this.#fetch(source);
        this.#fetching = false;
    }

    /** A connected peer that has applied more records, if no read of the log reached the head for one interval. */
    #findSource(): peers.PeerLink | undefined {
        const { stream, clock, directory, availabilityZone } = this.#options;
        const silentMs = clock() - (stream.caughtUpAt ?? Number.NEGATIVE_INFINITY);
        if (silentMs < pollIntervalMs) {
            return undefined;
        }
        return directory.list()
            .filter(peer => peer.availabilityZone === availabilityZone && peer.link.state === "connected")
            .find(peer => (peer.status?.appliedOffset ?? 0) > stream.nextOffset)?.link;
    }

    async #fetch(link: peers.PeerLink): Promise<void> {
        const answer = await link.queryRecords({ from: this.#options.stream.nextOffset }, answerTimeoutMs);
        answer.match(records => {
            this.#options.metrics.count("relays", "taken");
            this.#options.stream.deliverPeerEntries(records.entries);
        }, error => this.#options.metrics.count("relays", error.fault));
    }
}
