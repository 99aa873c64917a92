/**
 * Watches the organisations for the coordinator: publishes how long their jobs have to wait, and reports once a second
 * what each of them has waiting and running in each service, and what holds it back.
 */
import type * as eventLog from "@catkinwharf/event-log";
import type * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as capacityOutlook from "./capacity-outlook.js";
import type * as clocks from "./clocks.js";
import type * as jobRegistry from "./job-registry.js";
import * as quotaMeter from "./quota-meter.js";
import type * as session from "./server-session.js";

/** Time in ms between two reports. */
const reportInterval = 1000;

/** What an organisation has in a service at the time of a report. */
export interface OrganisationState {
    readonly organisation: string;
    readonly service: string;
    /** Tasks that could start if a server had room and nothing held them back. */
    waitingTasks: number;
    runningTasks: number;
    /** Waiting tasks of jobs beyond the committed rate; they go after all others of use. */
    beyondRateTasks: number;
    /** Waiting tasks that the quota keeps from starting now. */
    overQuotaTasks: number;
    /** Waiting tasks of jobs that will miss their objective, or would be too late to be of use. */
    lateTasks: number;
    /** Ms since the submission of the oldest job with waiting tasks. */
    oldest: number;
    /** What the organisation has running on all servers, in thousandths of a core, megabytes and accelerators. */
    readonly usage: Readonly<jobState.Demand>;
    /** 0 in a resource is no limit. */
    readonly quota: jobState.Demand;
    /** Committed jobs per second; 0 for none. */
    readonly weight: number;
    /** Largest part of the capacity, in any resource, that the organisation has running, divided by its weight. */
    readonly share: number;
}

export interface OrganisationMonitorOptions {
    readonly registry: jobRegistry.JobRegistry;
    readonly sessions: ReadonlyMap<string, session.ServerSession>;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Whether there are empty machines that no pool needs. */
    readonly hasSpareMachines: () => boolean;
    readonly clock: clocks.Clocks;
    readonly log: eventLog.EventLog;
    /** Receives each report, for metrics. */
    readonly observe: (states: readonly OrganisationState[]) => void;
}

export class OrganisationMonitor {
    #reportedAt: number;

    constructor(private readonly options: OrganisationMonitorOptions) {
        this.#reportedAt = options.clock.monotonic();
    }

    /** The waits to publish; `undefined` if there are none. */
    estimateWaits(): jobState.ExpectedWaits | undefined {
        const { registry, hasSpareMachines } = this.options;
        const configuration = this.options.configuration();
        if (configuration === undefined || configuration.organisations.length === 0) {
            return undefined;
        }
        const servers = [...this.options.sessions.values()];
        const waits = capacityOutlook.estimateWaits({
            configuration,
            candidates: registry.listUnplaced(),
            servers,
            quota: quotaMeter.measureQuotaUsage(configuration, servers),
            hasSpareMachines: hasSpareMachines(),
            taskDelay: registry.taskDelay,
            isBeyondRate: job => registry.isBeyondRate(job),
        });
        if (waits !== undefined) {
            this.options.log.info("capacity-short", { ...waits });
        }
        return waits;
    }

    /** Logs a line on each organisation and service with tasks when a report is due, those with waiting tasks first. */
    report(): void {
        const now = this.options.clock.monotonic();
        if (now - this.#reportedAt < reportInterval) {
            return;
        }
        this.#reportedAt = now;
        const states = this.#listStates();
        states.sort((a, b) => b.waitingTasks - a.waitingTasks);
        for (const state of states) {
            this.options.log.info("organisation-load", { ...state });
        }
        this.options.observe(states);
    }

    #listStates(): OrganisationState[] {
        const { registry, clock } = this.options;
        const configuration = this.options.configuration();
        if (configuration === undefined || configuration.organisations.length === 0) {
            return [];
        }
        const wall = clock.wall();
        const servers = [...this.options.sessions.values()];
        const quota = quotaMeter.measureQuotaUsage(configuration, servers);
        const shares = quotaMeter.measureShares(configuration, servers, quota);
        const organisations = new Map(configuration.organisations.map(organisation => [
            organisation.name,
            { ...organisation, usage: { ...quota.find(organisation.name) } },
        ]));
        const states = new Map<string, OrganisationState>();
        const find = (name: string, service: string): OrganisationState => {
            const key = JSON.stringify([name, service]);
            const organisation = organisations.get(name);
            const none = { cpu: 0, memory: 0, accelerators: 0 };
            const state = states.get(key) ?? {
                organisation: name,
                service,
                waitingTasks: 0,
                runningTasks: 0,
                beyondRateTasks: 0,
                overQuotaTasks: 0,
                lateTasks: 0,
                oldest: 0,
                usage: organisation?.usage ?? none,
                quota: organisation?.limit ?? none,
                weight: organisation?.weight ?? 0,
                share: shares.get(name) ?? 0,
            };
            states.set(key, state);
            return state;
        };
        for (const { entry, runs } of servers) {
            for (const { entry: { job } } of runs.values()) {
                if (job?.organisation !== undefined) {
                    find(job.organisation, entry.service).runningTasks += 1;
                }
            }
        }
        for (const [service, candidates] of registry.listUnplaced()) {
            for (const { active: { job }, ready, rank } of candidates) {
                if (job.organisation === undefined) {
                    continue;
                }
                const count = ready.tasks.size;
                const step = job.steps[ready.step]!;
                const allowed = quota.countAllowed(job.organisation, step, count);
                // What may start is counted as if it had, so that of what remains only the excess is over the quota.
                quota.add(job.organisation, step.demand, allowed);
                const state = find(job.organisation, service);
                state.waitingTasks += count;
                state.beyondRateTasks += rank.beyondRate ? count : 0;
                state.overQuotaTasks += count - allowed;
                state.lateTasks += rank.timeliness === scheduling.Timeliness.onTime ? 0 : count;
                state.oldest = Math.max(state.oldest, wall - job.submittedAt);
            }
        }
        return [...states.values()];
    }
}
