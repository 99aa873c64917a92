/** Sums the backlogs of organisations with a quota, of which only what their quota lets run counts as demand. */
import type * as jobState from "@catkinwharf/job-state";
import type * as scheduling from "@catkinwharf/scheduling";
import type * as jobRegistry from "./job-registry.js";

type Work = Record<keyof scheduling.Work, number>;

interface OrganisationBacklog {
    /** Work by the resources that it occupies, divided by the time in which its pool works off its backlog. */
    readonly running: Work;
    readonly ready: Work;
    /** Ready work in core-seconds, by service. */
    readonly readyByService: Map<string, number>;
}

export class LimitedBacklogs {
    readonly #backlogs = new Map<string, OrganisationBacklog>();

    /** @param findHorizon time in s in which the pool of a service works off its backlog */
    constructor(private readonly findHorizon: (service: string) => number) {}

    /** Adds a run of which `remainingShare` is left. */
    addRunning(organisation: string, service: string, step: jobState.Step, remainingShare: number): void {
        if (!step.longRunning) {
            addStep(this.#find(organisation).running, step, remainingShare / this.findHorizon(service));
        }
    }

    /**
     * Adds the ready tasks of a job.
     *
     * @param weight with which the job counts
     * @param coreSeconds of the ready tasks
     */
    addReady(
        organisation: string,
        service: string,
        { job, readiness }: jobRegistry.ActiveJob,
        weight: number,
        coreSeconds: number,
    ): void {
        const { ready, readyByService } = this.#find(organisation);
        const factor = weight / this.findHorizon(service);
        for (const { step, tasks } of readiness?.steps ?? []) {
            if (!job.steps[step]!.longRunning) {
                addStep(ready, job.steps[step]!, factor * tasks.size);
            }
        }
        readyByService.set(service, (readyByService.get(service) ?? 0) + weight * coreSeconds);
    }

    /** Adds the ready work that counts to the backlogs, in core-seconds by service; `now` is on the monotonic clock. */
    addTo(backlogs: Map<string, number>, quotaDemand: scheduling.QuotaDemand, now: number): void {
        for (const [organisation, { running, ready, readyByService }] of this.#backlogs) {
            const share = quotaDemand.computeReadyShare(organisation, running, ready, now);
            for (const [service, work] of readyByService) {
                backlogs.set(service, (backlogs.get(service) ?? 0) + share * work);
            }
        }
    }

    #find(organisation: string): OrganisationBacklog {
        let found = this.#backlogs.get(organisation);
        if (found === undefined) {
            found = { running: createWork(), ready: createWork(), readyByService: new Map() };
            this.#backlogs.set(organisation, found);
        }
        return found;
    }
}

/** Sums the work of all tasks of the steps, without long-running ones, times `weight`. */
export function sumWork(steps: readonly jobState.Step[], weight: number): scheduling.Work {
    const work = createWork();
    steps.filter(({ longRunning }) => !longRunning).forEach(step => addStep(work, step, weight * step.taskCount));
    return work;
}

function createWork(): Work {
    return { cpu: 0, memory: 0, accelerators: 0 };
}

function addStep(work: Work, { demand, estimate, filler }: jobState.Step, taskCount: number): void {
    const seconds = filler ? 0 : taskCount * estimate / 1000;
    work.cpu += seconds * demand.cpu;
    work.memory += seconds * demand.memory;
    work.accelerators += seconds * demand.accelerators;
}
