/**
 * Reads the platform's membership list, usage reports and reboots for the coordinator.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as platform from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as metrics from "./metrics.js";

/** Time in ms between readings of the membership list. */
const membershipMs = 2_000;
/** Time in ms between readings of the usage reports, while an instance waits for one. */
const usageMs = 500;

export interface WatchParts {
    readonly membership: platform.MembershipClient;
    readonly control: platform.ControlClient;
    readonly metrics: metrics.Metrics;
    readonly wallClock: () => number;
}

export class PlatformWatch {
    readonly #parts: WatchParts;
    #members: readonly schema.platform.Member[] = [];
    #membersReadAt = 0;
    #triedAt = Number.NEGATIVE_INFINITY;
    #usage: readonly schema.platform.UsageReport[] = [];
    #usageTriedAt = Number.NEGATIVE_INFINITY;
    #reboots = new Map<string, schema.platform.RebootAnswer>();

    constructor(parts: WatchParts) {
        this.#parts = parts;
    }

    /** Newest membership list. */
    get members(): readonly schema.platform.Member[] {
        return this.#members;
    }

    /** Wall-clock time in ms since 1970 at which the membership list was read. */
    get membersReadAt(): number {
        return this.#membersReadAt;
    }

    /** Newest usage reports; they are read while an instance is released. */
    get usage(): readonly schema.platform.UsageReport[] {
        return this.#usage;
    }

    /** Newest answer for each reboot that was asked for, by drain. */
    get reboots(): ReadonlyMap<string, schema.platform.RebootAnswer> {
        return this.#reboots;
    }

    /** Reads what is due, and asks for the reboot of each stopped instance. `now` is clock time in ms. */
    async refresh(state: fleetState.FleetState, now: number): Promise<void> {
        await Promise.all([this.#readMembers(now), this.#readUsage(state, now), this.#rebootStopped(state)]);
    }

    async #readUsage(state: fleetState.FleetState, now: number): Promise<void> {
        const isWanted = [...state.instances.values()].some(({ phase }) => phase === fleetState.Phase.released);
        if (!isWanted || now - this.#usageTriedAt < usageMs) {
            return;
        }
        this.#usageTriedAt = now;
        const answer = await this.#parts.control.readUsage();
        answer.match(
            value => this.#usage = value.reports,
            error => this.#parts.metrics.count("platform_events", `usage:${error.fault}`),
        );
    }

    async #readMembers(now: number): Promise<void> {
        if (now - this.#triedAt < membershipMs) {
            return;
        }
        this.#triedAt = now;
        const answer = await this.#parts.membership.read();
        answer.match(list => {
            this.#members = list.members;
            this.#membersReadAt = this.#parts.wallClock();
        }, error => this.#parts.metrics.count("platform_events", `membership:${error.fault}`));
    }

    /** The drain is the reboot's id, so that a repeated call, by whichever coordinator, reboots once. */
    async #rebootStopped(state: fleetState.FleetState): Promise<void> {
        const stopped = [...state.instances.values()].filter(instance => instance.phase === fleetState.Phase.stopped);
        const wanted = new Set(stopped.map(instance => instance.drain?.id));
        for (const drain of this.#reboots.keys()) {
            if (!wanted.has(drain)) {
                this.#reboots.delete(drain);
            }
        }
        await Promise.all(stopped.map(instance => this.#reboot(instance.instance.name, instance.drain?.id)));
    }

    async #reboot(instance: string, drain: string | undefined): Promise<void> {
        if (drain === undefined || this.#reboots.get(drain)?.state === "done") {
            return;
        }
        const answer = await this.#parts.control.reboot(instance, drain);
        answer.match(
            value => this.#reboots.set(drain, value),
            error => this.#parts.metrics.count("platform_events", `reboot:${error.fault}`),
        );
    }
}
