/**
 * Logs which tasks stay ready although servers have room for them, and which runs nothing ends, so that it shows why a task
 * isn't started. Lines come every few seconds at most, and name a few tasks each.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import type * as clocks from "./clocks.js";
import * as context from "./context.js";
import type * as jobRegistry from "./job-registry.js";
import type * as placer from "./placer.js";
import * as quotaMeter from "./quota-meter.js";
import * as runManager from "./run-manager.js";
import * as session from "./server-session.js";
import type * as ticketCache from "./ticket-cache.js";

/** Time in ms between two checks; a task that two of them find ready has waited for long. */
const checkInterval = 3000;
/** Steps of which it is determined at a check why they wait: those that have waited longest. */
const maxJudged = 50;
/** Tasks or runs in a line. */
const maxLogged = 10;

/** Why a ready task isn't placed although servers have room for it. */
export const WaitReason = {
    /** The route of its queue isn't known. */
    noRoute: "no route",
    /** Its service has no servers. */
    noServer: "no server",
    /** None of the servers with room accepts tasks. */
    noServerOpen: "no server open",
    overQuota: "over quota",
    /** The coordinator has as many runs under way as it has memory for. */
    overRunLimit: "over run limit",
    noTicket: "no ticket",
    /** Other steps have reserved the servers with room. */
    reserved: "reserved",
    /** It starts alone, and other runs are starting on the servers with room. */
    noQuietServer: "no quiet server",
    /** It lies beyond its organisation's rate, so that others may hold it back. */
    beyondRate: "beyond rate",
    /** The servers have room for some members of the gang. */
    gang: "gang",
    /** Nothing of the above: the limit on starts, or servers that had no room at the last pass. */
    notPlaced: "not placed",
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** Why a run counts as one that nothing ends. */
export const StuckCause = {
    /** No server's session has the run, so neither a list nor a lease ends it. */
    notFollowed: "not followed",
    /** Its server is out of reach for longer than any lease lasts. */
    unreachable: "server out of reach",
    /** Its server responds, and neither confirms nor omits it. */
    unsettled: "unsettled",
} as const;
export type StuckCause = (typeof StuckCause)[keyof typeof StuckCause];

export interface WaitingTasksOptions {
    readonly registry: Pick<jobRegistry.JobRegistry, "active" | "isBeyondRate">;
    readonly sessions: ReadonlyMap<string, session.ServerSession>;
    readonly tickets: Pick<ticketCache.TicketCache, "listPermitted">;
    readonly placer: Pick<placer.Placer, "countAllowedRuns">;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    readonly clock: clocks.Clocks;
    readonly log: eventLog.EventLog;
    /** Longest time in ms for which a server grants a lease. */
    readonly maxLease: number;
}

interface WaitingStep {
    readonly active: jobRegistry.ActiveJob;
    /** `undefined` if the route isn't known: nothing says then which tasks are ready. */
    readonly ready: scheduling.ReadyStep | undefined;
    /** On the monotonic clock: when a check first found its first task ready. */
    readonly since: number;
}

/** What keeps servers with room from accepting tasks; a server counts under the first that applies. */
const closedStates: readonly [string, (server: session.ServerSession, now: number) => boolean][] = [
    ["unlisted", server => server.unlisted],
    ["draining", server => server.entry.draining],
    ["unreachable", server => !server.reachable],
    ["inDoubt", server => server.clock.isInDoubt],
    ["otherBoot", server => !server.isRegistrationCurrent()],
    ["startingAlone", server => server.startingAloneUntil !== undefined],
    ["backingOff", (server, now) => now < server.backoffUntil],
    ["awaitingOrder", server => server.reservedForOrder],
    ["released", server => server.releasedByPool],
];

export class WaitingTasks {
    /** When each task was first found ready, by job and a number of the task. */
    #since = new Map<string, ReadonlyMap<number, number>>();
    #checkedAt: number;

    constructor(private readonly options: WaitingTasksOptions) {
        this.#checkedAt = options.clock.monotonic();
    }

    /** Checks and logs if a check is due. */
    report(): void {
        const now = this.options.clock.monotonic();
        if (now - this.#checkedAt < checkInterval) {
            return;
        }
        this.#checkedAt = now;
        this.#reportWaiting(now);
        this.#reportStuck(now);
    }

    #reportWaiting(now: number): void {
        const waiting = this.#listWaiting(now)
            .filter(({ since }) => since < now)
            .sort((a, b) => a.since - b.since)
            .slice(0, maxJudged);
        if (waiting.length === 0) {
            return;
        }
        const { sessions, configuration, log } = this.options;
        const quota = quotaMeter.measureQuotaUsage(configuration(), sessions.values());
        const pools = groupByService(sessions.values());
        const rows = waiting.flatMap(one => this.#describe(one, pools, quota, now) ?? []);
        if (rows.length > 0) {
            log.warn("tasks-waiting", { steps: rows.length, tasks: rows.slice(0, maxLogged) });
        }
    }

    /** Updates since when tasks are ready; those of a job whose readiness isn't known now stay as they are. */
    #listWaiting(now: number): WaitingStep[] {
        const since = new Map<string, ReadonlyMap<number, number>>();
        const waiting: WaitingStep[] = [];
        for (const [id, active] of this.options.registry.active) {
            const before = this.#since.get(id);
            const { readiness, route, entry, progress } = active;
            if (entry.cancelledAt !== undefined || jobState.isSettled(progress.status)) {
                continue;
            }
            if (readiness === undefined && route !== undefined) {
                if (before !== undefined) {
                    since.set(id, before);
                }
                continue;
            }
            const own = new Map<number, number>();
            const taskCount = jobState.countTasks(active.job);
            for (const ready of route === undefined ? [undefined] : readiness!.steps) {
                const task = ready === undefined ? -1 : ready.occurrence * taskCount + ready.tasks.first!;
                const first = before?.get(task) ?? now;
                own.set(task, first);
                waiting.push({ active, ready, since: first });
            }
            if (own.size > 0) {
                since.set(id, own);
            }
        }
        this.#since = since;
        return waiting;
    }

    /** Describes a waiting step; `undefined` if the servers have no room for its tasks. */
    #describe(
        { active, ready, since }: WaitingStep,
        pools: ReadonlyMap<string, Pool>,
        quota: scheduling.QuotaUsage,
        now: number,
    ): object | undefined {
        const waited = Math.round(now - since);
        if (ready === undefined) {
            return { job: active.entry.id, queue: active.job.queue, reason: WaitReason.noRoute, waited };
        }
        const step = active.job.steps[ready.step]!;
        const { servers, shortages } = pools.get(active.route!.service) ?? createPool();
        shortages.recordUnplaced(step, servers.map(({ load }) => load));
        if (servers.length > 0 && shortages.includes(step)) {
            return undefined;
        }
        const stepKey = runManager.formatStepKey(active.job.id, ready);
        const withRoom = servers.filter(({ load }) => scheduling.fits(openLoad(load), step, stepKey));
        if (servers.length > 0 && withRoom.length === 0) {
            return undefined;
        }
        const history = active.progress.occurrences.get(ready.occurrence)?.histories.get(ready.tasks.first!);
        return {
            task: formatName(active, ready.occurrence, ready.tasks.first!),
            tasks: ready.tasks.size,
            waited,
            reason: this.#judge(active, ready, withRoom, quota),
            alone: ready.alone,
            lastRun: history?.lastRun ?? 0,
            crashes: history?.crashes ?? 0,
            servers: servers.length,
            withRoom: withRoom.length,
            closed: countClosed(withRoom, now),
        };
    }

    #judge(
        active: jobRegistry.ActiveJob,
        ready: scheduling.ReadyStep,
        withRoom: readonly session.ServerSession[],
        quota: scheduling.QuotaUsage,
    ): WaitReason {
        const { job, route } = active;
        const step = job.steps[ready.step]!;
        const stepKey = runManager.formatStepKey(job.id, ready);
        const open = withRoom.filter(({ load }) => load.acceptsTasks);
        const isFree = ({ load: { reservation } }: session.ServerSession) =>
            reservation === undefined || reservation.stepKey === stepKey;
        const now = this.options.clock.monotonic();
        const reasons: readonly [WaitReason, () => boolean][] = [
            [WaitReason.noServer, () => withRoom.length === 0],
            [WaitReason.noServerOpen, () => open.length === 0],
            [WaitReason.overQuota, () => quota.countAllowed(job.organisation, step, ready.tasks.size) === 0],
            [
                WaitReason.overRunLimit,
                () => this.options.placer.countAllowedRuns({ active, ready }, ready.tasks.size) === 0,
            ],
            [
                WaitReason.noTicket,
                () => route?.advice !== undefined && this.options.tickets.listPermitted(stepKey, open).length === 0,
            ],
            [WaitReason.reserved, () => !open.some(isFree)],
            [
                WaitReason.noQuietServer,
                () => ready.alone && open.every(server => server.countStartingRuns(now) > 0),
            ],
            [WaitReason.beyondRate, () => this.options.registry.isBeyondRate(job)],
            [WaitReason.gang, () => step.gang],
        ];
        return reasons.find(([, applies]) => applies())?.[0] ?? WaitReason.notPlaced;
    }

    #reportStuck(now: number): void {
        const { log, registry } = this.options;
        const runs: object[] = [];
        let count = 0;
        for (const active of registry.active.values()) {
            for (const [occurrence, { histories }] of active.progress.occurrences) {
                for (const [taskIndex, history] of histories) {
                    for (const run of history.runs) {
                        const name = `${formatName(active, occurrence, taskIndex)}/${run.number}`;
                        const stuck = this.#describeStuck(name, run, now);
                        count += stuck === undefined ? 0 : 1;
                        if (stuck !== undefined && runs.length < maxLogged) {
                            runs.push(stuck);
                        }
                    }
                }
            }
        }
        if (count > 0) {
            log.warn("runs-stuck", { count, runs });
        }
    }

    #describeStuck(name: string, { server }: jobState.Run, now: number): object | undefined {
        const known = this.options.sessions.get(session.parseServerId(server));
        const run = known?.runs.get(name);
        if (known === undefined || run === undefined) {
            return { run: name, boot: server, cause: StuckCause.notFollowed };
        }
        const longest = this.options.maxLease + context.maxCallLateness;
        const isLate = now - run.plannedAt > longest;
        const isUnreachable = !known.reachable && now - known.lastAnswerAt > longest;
        const isUnsettled = known.reachable && run.phase !== session.RunPhase.running;
        if (!isLate || !isUnreachable && !isUnsettled) {
            return undefined;
        }
        return {
            run: name,
            boot: server,
            cause: isUnreachable ? StuckCause.unreachable : StuckCause.unsettled,
            phase: run.phase,
            start: run.startEvidence,
            unlisted: known.unlisted,
            ...known.describeContact(now),
        };
    }
}

/** Servers of a service, and the demands that none of them has room for, whether or not it accepts tasks. */
interface Pool {
    readonly servers: session.ServerSession[];
    readonly shortages: scheduling.Shortages;
}

function createPool(): Pool {
    return {
        servers: [],
        shortages: new scheduling.Shortages((load, step) => scheduling.hasRoom(openLoad(load), step)),
    };
}

function groupByService(servers: Iterable<session.ServerSession>): Map<string, Pool> {
    const pools = new Map<string, Pool>();
    for (const server of servers) {
        const pool = pools.get(server.entry.service) ?? createPool();
        pools.set(server.entry.service, pool);
        pool.servers.push(server);
    }
    return pools;
}

/** The load as if the server accepted tasks. */
function openLoad(load: scheduling.ServerLoad): scheduling.ServerLoad {
    return load.acceptsTasks ? load : { ...load, acceptsTasks: true };
}

function countClosed(servers: readonly session.ServerSession[], now: number): object {
    const counts: Record<string, number> = {};
    for (const server of servers.filter(({ load }) => !load.acceptsTasks)) {
        const state = closedStates.find(([, applies]) => applies(server, now))?.[0] ?? "other";
        counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
}

/** Name of a task: "<job>.<occurrence>.<step>.<index>". */
function formatName({ job }: jobRegistry.ActiveJob, occurrence: number, taskIndex: number): string {
    const step = jobState.findStep(job, taskIndex);
    const position = { occurrence, step };
    return `${runManager.formatStepKey(job.id, position)}.${taskIndex - jobState.findFirstTask(job, step)}`;
}
