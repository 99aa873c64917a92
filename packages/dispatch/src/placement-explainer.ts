/**
 * Explains to an operator where the tasks of a job would go now, and what they wait for. It changes nothing: the loads
 * that it places tasks on are copies.
 */
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as types from "@catkinwharf/types";
import type * as clocks from "./clocks.js";
import type * as jobRegistry from "./job-registry.js";
import type * as placer from "./placer.js";
import * as quotaMeter from "./quota-meter.js";
import * as rateHold from "./rate-hold.js";
import * as runManager from "./run-manager.js";
import type * as session from "./server-session.js";
import type * as ticketCache from "./ticket-cache.js";

/** Steps that one answer explains at most: each is tried on all servers, in the coordinator's time. */
const maxSteps = 8;
/** Servers that are named for a step at most; the others are counted by what they lack. */
const maxServers = 50;
/** Tasks of a step that are placed for an answer at most, unless they form a gang. */
const maxPlacements = 1000;

const noAmounts = { cpu: 0, memory: 0, accelerators: 0 };

export interface PlacementExplainerOptions {
    readonly registry: jobRegistry.JobRegistry;
    readonly sessions: ReadonlyMap<string, session.ServerSession>;
    readonly placer: Pick<
        placer.Placer,
        "countAllowedRuns" | "describeOutlooks" | "findKeptServer" | "predictDuration"
    >;
    readonly tickets: Pick<ticketCache.TicketCache, "listPermitted">;
    readonly clock: clocks.Clocks;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
}

/** What the steps of one job are explained from. */
interface Subject {
    readonly active: jobRegistry.ActiveJob;
    readonly wall: number;
    readonly beyondRate: boolean;
    readonly servers: readonly session.ServerSession[];
    readonly runs: readonly { readonly server: string; readonly run: session.ActiveRun; }[];
    readonly shares: ReadonlyMap<string, number>;
    /** Candidates of the service, in the order in which they are placed. */
    readonly queue: readonly jobRegistry.Candidate[];
    readonly isKnown: boolean;
}

export class PlacementExplainer {
    constructor(private readonly options: PlacementExplainerOptions) {}

    /** Explains a known job; `undefined` if its submission isn't known. */
    explainKnown(entry: jobState.JobEntry): types.PlacementExplanation | undefined {
        if (entry.job === undefined) {
            return undefined;
        }
        const wall = this.options.clock.wall();
        const active = this.options.registry.active.get(entry.id);
        if (active === undefined || entry.cancelledAt !== undefined || jobState.isSettled(active.progress.status)) {
            const status = entry.cancelledAt === undefined
                ? entry.progress?.status
                : jobState.JobStatus.cancelled;
            const { job } = entry;
            const service = this.options.registry.describe(job).route?.service;
            const organisation = this.#explainOrganisation(job, this.options.registry.isBeyondRate(job));
            return {
                verdict: types.Verdict.ended,
                job: job.id,
                status,
                queue: job.queue,
                service,
                organisation,
                steps: [],
                stepsLeftOut: 0,
            };
        }
        const beyondRate = this.options.registry.isBeyondRate(active.job);
        return { ...this.#explain(active, wall, beyondRate, true), status: active.progress.status };
    }

    /** Explains a job as if it were submitted now. */
    explainSubmission(job: jobState.Job): types.PlacementExplanation {
        const { registry, clock } = this.options;
        const wall = clock.wall();
        return this.#explain(registry.preview(job, wall), wall, registry.wouldBeBeyondRate(job), false);
    }

    #explain(
        active: jobRegistry.ActiveJob,
        wall: number,
        beyondRate: boolean,
        isKnown: boolean,
    ): types.PlacementExplanation {
        const { registry, sessions } = this.options;
        const { job, route } = active;
        const all = [...sessions.values()];
        const configuration = this.options.configuration();
        const quota = quotaMeter.measureQuotaUsage(configuration, all);
        const service = route?.service ?? "";
        const subject: Subject = {
            active,
            wall,
            beyondRate,
            servers: all.filter(server => server.entry.service === service),
            runs: all.flatMap(server =>
                [...server.runs.values()].filter(run => run.entry.id === job.id)
                    .map(run => ({ server: server.entry.id, run }))
            ),
            shares: quotaMeter.measureShares(configuration, all, quota),
            queue: registry.listUnplaced().get(service) ?? [],
            isKnown,
        };
        const readiness = scheduling.listReady(job, active.progress, wall);
        const unfinished = listUnfinished(subject, readiness.steps);
        // Steps that could start come first: of the others there is less to say.
        unfinished.sort((a, b) => Number(a.ready === undefined) - Number(b.ready === undefined));
        const steps = unfinished.slice(0, maxSteps).map(one => this.#explainStep(subject, one));
        const starts = steps.some(step => step.placements.length > 0);
        return {
            verdict: subject.runs.length > 0
                ? types.Verdict.running
                : starts
                ? types.Verdict.starts
                : types.Verdict.waits,
            job: isKnown ? job.id : undefined,
            queue: job.queue,
            service: route?.service,
            organisation: this.#explainOrganisation(job, beyondRate),
            nextDue: readiness.nextDue === undefined ? undefined : readiness.nextDue - wall,
            steps,
            stepsLeftOut: unfinished.length - steps.length,
        };
    }

    #explainOrganisation(
        { organisation: name }: jobState.Job,
        beyondRate: boolean,
    ): types.OrganisationExplanation | undefined {
        if (name === undefined) {
            return undefined;
        }
        const configuration = this.options.configuration();
        const servers = [...this.options.sessions.values()];
        const usage = quotaMeter.measureQuotaUsage(configuration, servers);
        const organisation = configuration?.organisations.find(one => one.name === name);
        return {
            name,
            usage: { ...usage.find(name) },
            quota: organisation?.limit ?? noAmounts,
            weight: organisation?.weight ?? 0,
            share: quotaMeter.measureShares(configuration, servers, usage).get(name) ?? 0,
            beyondRate,
        };
    }

    #explainStep(subject: Subject, { occurrence, step: index, ready }: UnfinishedStep): types.StepExplanation {
        const { active, servers } = subject;
        const { job, route } = active;
        const step = job.steps[index]!;
        const common = {
            occurrence,
            step: index,
            tasks: step.taskCount,
            runningOn: subject.runs.filter(({ run }) =>
                run.position.occurrence === occurrence && run.position.step === index
            ).map(({ server }) => server),
            needsTicket: route?.advice !== undefined,
            serverCount: servers.length,
        };
        if (ready === undefined) {
            return {
                ...common,
                readyTasks: 0,
                blocker: common.runningOn.length > 0 ? undefined : types.Blocker.notReady,
                waitsForSteps: findUnfinishedDependencies(active, occurrence, index),
                stepsBefore: 0,
                allowedByQuota: 0,
                placements: [],
                lackCounts: {},
                servers: [],
            };
        }
        const stepKey = runManager.formatStepKey(job.id, ready);
        const request = {
            stepKey,
            step,
            tasks: [], // What a server lacks is the same for each of them.
            avoided: active.avoided,
            alone: ready.alone,
            expectedDuration: this.options.placer.predictDuration(active, index),
        };
        const before = this.#listBefore(subject, ready);
        const quota = this.#measureQuota(job.organisation, servers, before);
        const allowed = quota.countAllowed(job.organisation, step, ready.tasks.size);
        const isHeldByRate = subject.beyondRate && !step.longRunning && isHeld(subject.queue, servers, quota);
        // Tickets are requested only once a job has been submitted.
        const isLimitedByTickets = subject.isKnown && route?.advice !== undefined;
        const permitted = isLimitedByTickets ? this.options.tickets.listPermitted(stepKey, servers) : servers;
        const outlooks = this.options.placer.describeOutlooks(servers);
        const kept = this.#findKeptServer(route?.service ?? "", before);
        const explained = scheduling.explainStep(request, outlooks).map(one =>
            one.server === kept?.server
                ? { ...one, lacks: [...one.lacks, scheduling.Lack.reserved], reservedFor: kept.stepKey }
                : one
        );
        // A new copy of the loads: the explanation is of the servers before any of these tasks.
        const open = this.options.placer.describeOutlooks(permitted).map(({ load }) => load)
            .filter(load => load.acceptsTasks && load.id !== kept?.server);
        const startable = this.options.placer.countAllowedRuns({ active, ready }, allowed);
        const tasks = ready.tasks.take(step.gang ? startable : Math.min(startable, maxPlacements));
        const placements = startable === 0 || isHeldByRate ? [] : scheduling.placeStep({ ...request, tasks }, open);
        const own = explained.find(one => one.reservedFor === stepKey);
        const reservation = own === undefined ? undefined : {
            server: own.server,
            wait: Math.round(outlooks.find(({ load }) => load.id === own.server)!.load.reservation!.timeLeft),
        };
        const blocker = placements.length > 0
            ? undefined
            : allowed === 0
            ? types.Blocker.quota
            : startable === 0
            ? types.Blocker.runs
            : isHeldByRate
            ? types.Blocker.rate
            : permitted.length === 0 && servers.length > 0
            ? types.Blocker.ticket
            : types.Blocker.servers;
        return {
            ...common,
            readyTasks: ready.tasks.size,
            blocker,
            waitsForSteps: [],
            stepsBefore: before.length,
            allowedByQuota: allowed,
            placements: placements.map(({ server }) => server.id),
            lackCounts: countLacks(explained),
            servers: explained.slice(0, maxServers).map(one => ({
                server: one.server,
                lacks: one.lacks,
                wait: one.wait === undefined ? undefined : Math.round(one.wait),
                reservedFor: one.reservedFor,
            })),
            reservation,
            predictedStart: predictStart(blocker, step, reservation?.wait, explained),
        };
    }

    /** Steps before this one in the queue of its service, by the last pass. */
    #listBefore(
        { active, wall, beyondRate, shares, queue }: Subject,
        ready: scheduling.ReadyStep,
    ): readonly jobRegistry.Candidate[] {
        const position = queue.findIndex(one =>
            one.active === active && one.ready.occurrence === ready.occurrence && one.ready.step === ready.step
            && one.ready.alone === ready.alone
        );
        if (position !== -1 || active.route === undefined) {
            return queue.slice(0, Math.max(0, position));
        }
        const rank = this.options.registry.rank(active, active.route, ready, wall, shares, beyondRate);
        return queue.filter(one => one.active !== active && scheduling.compareRanks(one.rank, rank) <= 0);
    }

    /** What the organisations have running, with half of the quota reserved where a step before waits for it, as in a pass. */
    #measureQuota(
        organisation: string | undefined,
        servers: readonly session.ServerSession[],
        before: readonly jobRegistry.Candidate[],
    ): scheduling.QuotaUsage {
        const quota = quotaMeter.measureQuotaUsage(this.options.configuration(), this.options.sessions.values());
        const open = servers.map(({ load }) => load).filter(load => load.acceptsTasks);
        for (const { active, ready } of organisation === undefined ? [] : before) {
            const step = active.job.steps[ready.step]!;
            const isOwn = active.job.organisation === organisation;
            if (isOwn && quota.countAllowed(organisation, step, ready.tasks.size) === 0) {
                const stepKey = runManager.formatStepKey(active.job.id, ready);
                const request = { stepKey, step, tasks: [], avoided: active.avoided, alone: ready.alone };
                if (scheduling.chooseReservation(request, open) !== undefined) {
                    quota.reserve(organisation!, step, ready.tasks.size);
                    break;
                }
            }
        }
        return quota;
    }

    /** The server that the last pass kept for one of the steps before. */
    #findKeptServer(service: string, before: readonly jobRegistry.Candidate[]): placer.KeptServer | undefined {
        const kept = this.options.placer.findKeptServer(service);
        const binds = before.some(({ active, ready }) =>
            runManager.formatStepKey(active.job.id, ready) === kept?.stepKey
        );
        return binds ? kept : undefined;
    }
}

/** Whether steps beyond their organisation's rate are held back, see `rateHold.placeByRate`. */
function isHeld(
    queue: readonly jobRegistry.Candidate[],
    servers: readonly session.ServerSession[],
    quota: scheduling.QuotaUsage,
): boolean {
    const search = rateHold.createSearch(servers);
    return queue.some(one => !one.rank.beyondRate && rateHold.isWaitingForRoom(one, search, quota));
}

interface UnfinishedStep {
    readonly occurrence: number;
    readonly step: number;
    /** Set if tasks of it are ready. */
    readonly ready: scheduling.ReadyStep | undefined;
}

/** Steps of the occurrences that are under way or ready, in order, without those that are complete. */
function listUnfinished({ active, runs }: Subject, ready: readonly scheduling.ReadyStep[]): UnfinishedStep[] {
    const occurrences = new Set([
        ...ready.map(one => one.occurrence),
        ...runs.map(({ run }) => run.position.occurrence),
    ]);
    return [...occurrences].sort((a, b) => a - b).flatMap(occurrence =>
        active.job.steps.flatMap((_, step): UnfinishedStep[] => {
            const parts = ready.filter(one => one.occurrence === occurrence && one.step === step);
            if (parts.length > 0) {
                return parts.map(part => ({ occurrence, step, ready: part }));
            }
            return isComplete(active, occurrence, step) ? [] : [{ occurrence, step, ready: undefined }];
        })
    );
}

function isComplete({ job, progress }: jobRegistry.ActiveJob, occurrence: number, step: number): boolean {
    const { taskCount } = job.steps[step]!;
    const done = progress.occurrences.get(occurrence)?.done.countIn(jobState.findFirstTask(job, step), taskCount);
    return progress.finished.has(occurrence) || done === taskCount;
}

function findUnfinishedDependencies(active: jobRegistry.ActiveJob, occurrence: number, step: number): number[] {
    return active.job.steps[step]!.dependsOn.filter(earlier => !isComplete(active, occurrence, earlier));
}

function countLacks(explained: readonly scheduling.ServerExplanation[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const lack of explained.flatMap(one => one.lacks)) {
        counts[lack] = (counts[lack] ?? 0) + 1;
    }
    return counts;
}

/** Ms until the step is predicted to start; `undefined` if it waits for more than room for one task. */
function predictStart(
    blocker: types.Blocker | undefined,
    step: jobState.Step,
    reservedWait: number | undefined,
    explained: readonly scheduling.ServerExplanation[],
): number | undefined {
    if (blocker === undefined) {
        return 0;
    }
    if (blocker !== types.Blocker.servers) {
        return undefined;
    }
    if (reservedWait !== undefined) {
        return reservedWait;
    }
    const waits = explained.flatMap(({ wait }) => wait ?? []);
    return step.gang || waits.length === 0 ? undefined : Math.round(Math.min(...waits));
}
