/**
 * Gives up homes that the fold wants released, once no request of this process runs there.
 */
import * as platform from "@catkinwharf/log-service";
import * as fleetView from "./fleet-view.js";
import * as homeDirectory from "./home-directory.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time in ms for a release to be read back. */
const releaseTimeoutMs = 10_000;

export interface ReleaserParts {
    readonly view: fleetView.FleetView;
    readonly stream: platform.Stream;
    readonly homes: homeDirectory.HomeDirectory;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    readSession(): string;
}

export class HomeReleaser {
    readonly #parts: ReleaserParts;
    readonly #releasing = new Set<string>();

    constructor(parts: ReleaserParts) {
        this.#parts = parts;
    }

    /** Releases what can be released now. */
    look(): void {
        const session = this.#parts.readSession();
        for (const home of this.#parts.homes.listReleasable(this.#parts.view.state, session)) {
            if (!this.#releasing.has(home.instance)) {
                void this.#release(session, home);
            }
        }
    }

    async #release(session: string, home: homeDirectory.ReleasableHome): Promise<void> {
        this.#releasing.add(home.instance);
        const settled = await this.#parts.view.propose(this.#parts.stream, {
            ...records.createHeader(session),
            kind: "home-released",
            session,
            instance: home.instance,
            generation: home.generation,
        }, this.#parts.clock() + releaseTimeoutMs);
        this.#releasing.delete(home.instance);
        if (settled.isOk() && !settled.value.verdict.applied) {
            this.#parts.metrics.count("ignored_records", `home-released:${settled.value.verdict.ignored ?? ""}`);
        }
    }
}
