/**
 * Releases the homes that the fleet state marks for release, once no request of this process runs there.
 */
import * as logService from "@catkinwharf/log-service";
import * as fleetView from "./fleet-view.js";
import * as homedServerRegistry from "./homed-server-registry.js";
import * as metrics from "./metrics.js";
import * as records from "./records.js";

/** Time limit in ms for a release to be appended and read back. */
const releaseTimeoutMs = 10_000;

export interface HomeReleaserOptions {
    readonly view: fleetView.FleetView;
    readonly stream: logService.Stream;
    readonly homes: homedServerRegistry.HomedServerRegistry;
    readonly metrics: metrics.Metrics;
    readonly clock: () => number;
    readSession(): string;
}

export class HomeReleaser {
    readonly #options: HomeReleaserOptions;
    readonly #releasing = new Set<string>();

    constructor(options: HomeReleaserOptions) {
        this.#options = options;
    }

    /** Releases each marked home that has no running request, unless its release is being appended. */
    releaseIdleHomes(): void {
        const session = this.#options.readSession();
        for (const home of this.#options.homes.listReleasableHomes(this.#options.view.state, session)) {
            if (!this.#releasing.has(home.instance)) {
                void this.#release(session, home);
            }
        }
    }

    async #release(session: string, home: homedServerRegistry.ReleasableHome): Promise<void> {
        this.#releasing.add(home.instance);
        const result = await this.#options.view.propose(this.#options.stream, {
            ...records.createHeader(session),
            kind: "home-released",
            session,
            instance: home.instance,
            generation: home.generation,
        }, this.#options.clock() + releaseTimeoutMs);
        this.#releasing.delete(home.instance);
        if (result.isOk() && !result.value.verdict.applied) {
            this.#options.metrics.count("ignored_records", `home-released:${result.value.verdict.ignored ?? ""}`);
        }
    }
}
