/**
 * Polls the platform's membership list and usage reports for the coordinator, and requests the reboots of stopped
 * instances.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as logService from "@catkinwharf/log-service";
import * as schema from "@catkinwharf/schema";
import * as metrics from "./metrics.js";

/** Time in ms between reads of the membership list. */
const membershipIntervalMs = 2_000;
/** Time in ms between reads of the usage reports while a released instance waits for one. */
const usageIntervalMs = 500;

export interface PlatformPollerOptions {
    readonly membership: logService.MembershipClient;
    readonly control: logService.ControlClient;
    readonly metrics: metrics.Metrics;
    readonly wallClock: () => number;
}

export class PlatformPoller {
    readonly #options: PlatformPollerOptions;
    #members: readonly schema.platform.Member[] = [];
    #membersReadAt = 0;
    #membersRequestedAt = Number.NEGATIVE_INFINITY;
    #usage: readonly schema.platform.UsageReport[] = [];
    #usageRequestedAt = Number.NEGATIVE_INFINITY;
    #reboots = new Map<string, schema.platform.RebootAnswer>();

    constructor(options: PlatformPollerOptions) {
        this.#options = options;
    }

    /** Newest membership list. */
    get members(): readonly schema.platform.Member[] {
        return this.#members;
    }

    /** Wall-clock time in ms since 1970 at which the membership list was read. */
    get membersReadAt(): number {
        return this.#membersReadAt;
    }

    /** Newest usage reports; they are read only while an instance is released. */
    get usage(): readonly schema.platform.UsageReport[] {
        return this.#usage;
    }

    /** Newest answer to each requested reboot, by the id of the drain. */
    get reboots(): ReadonlyMap<string, schema.platform.RebootAnswer> {
        return this.#reboots;
    }

    /** Reads what is due, and requests the reboot of each stopped instance. `now` is clock time in ms. */
    async refresh(state: fleetState.FleetState, now: number): Promise<void> {
        await Promise.all([this.#readMembers(now), this.#readUsage(state, now), this.#rebootStoppedInstances(state)]);
    }

    async #readUsage(state: fleetState.FleetState, now: number): Promise<void> {
        const isNeeded = [...state.instances.values()].some(({ phase }) => phase === fleetState.Phase.released);
        if (!isNeeded || now - this.#usageRequestedAt < usageIntervalMs) {
            return;
        }
        this.#usageRequestedAt = now;
        const answer = await this.#options.control.readUsage();
        answer.match(
            value => this.#usage = value.reports,
            error => this.#options.metrics.count("platform_events", `usage:${error.fault}`),
        );
    }

    async #readMembers(now: number): Promise<void> {
        if (now - this.#membersRequestedAt < membershipIntervalMs) {
            return;
        }
        this.#membersRequestedAt = now;
        const answer = await this.#options.membership.read();
        answer.match(list => {
            this.#members = list.members;
            this.#membersReadAt = this.#options.wallClock();
        }, error => this.#options.metrics.count("platform_events", `membership:${error.fault}`));
    }

    /** Requests reboots under the drain's id, so that repeated calls, also by another coordinator, reboot only once. */
    async #rebootStoppedInstances(state: fleetState.FleetState): Promise<void> {
        const stopped = [...state.instances.values()].filter(instance => instance.phase === fleetState.Phase.stopped);
        const currentDrains = new Set(stopped.map(instance => instance.drain?.id));
        for (const drain of this.#reboots.keys()) {
            if (!currentDrains.has(drain)) {
                this.#reboots.delete(drain);
            }
        }
        await Promise.all(stopped.map(instance => this.#reboot(instance.instance.name, instance.drain?.id)));
    }

    async #reboot(instance: string, drain: string | undefined): Promise<void> {
        if (drain === undefined || this.#reboots.get(drain)?.state === "done") {
            return;
        }
        const answer = await this.#options.control.reboot(instance, drain);
        answer.match(
            value => this.#reboots.set(drain, value),
            error => this.#options.metrics.count("platform_events", `reboot:${error.fault}`),
        );
    }
}
