/**
 * Turns candidates into planned runs: asks the decision on placing, for tickets where a policy needs them, and records
 * the intents. Nothing is sent here.
 */
import * as scheduling from "@catkinwharf/scheduling";
import type * as adviceDesk from "./advice-desk.js";
import type * as context from "./context.js";
import type * as jobBoard from "./job-board.js";
import * as runs from "./runs.js";
import type * as session from "./server-session.js";

/** Candidates that may fail to fit before a pass gives up on a service; bounds the work under a backlog. */
const maxMisses = 16;

/** A run whose intent waits to be stored. */
export interface PlannedRun {
    readonly server: session.ServerSession;
    readonly run: session.ActiveRun;
}

export class Placer {
    constructor(
        private readonly shared: context.CoordinatorContext,
        private readonly runs: runs.Runs,
        private readonly advice: adviceDesk.AdviceDesk,
    ) {}

    /** Places what fits, in order, and records the intents. */
    place(
        candidates: readonly jobBoard.Candidate[],
        servers: readonly session.ServerSession[],
    ): PlannedRun[] {
        const planned: PlannedRun[] = [];
        const open = servers.filter(server => server.load.open);
        const byId = new Map(open.map(server => [server.entry.id, server]));
        const loads = open.map(server => server.load);
        let misses = 0;
        for (const candidate of candidates) {
            if (misses >= maxMisses) {
                break;
            }
            const { active, ready } = candidate;
            const step = active.job.steps[ready.step]!;
            const stepKey = runs.nameStep(active.job.id, ready);
            const advised = active.route.advice !== undefined;
            const allowed = advised ? this.#listAdvised(candidate, stepKey, open) : loads;
            const placements = scheduling.placeStep(
                { stepKey, step, tasks: ready.tasks, avoided: active.avoided },
                allowed,
            );
            if (placements.length === 0) {
                misses += 1;
                continue;
            }
            this.#logPlaced(candidate, placements);
            const gangRun = step.gang ? this.#nextGangRun(active, ready) : undefined;
            for (const { task, server } of placements) {
                const to = byId.get(server.id)!;
                const number = gangRun ?? this.#nextRun(active, ready.occurrence, task);
                const ticket = advised ? this.advice.find(stepKey, to) : undefined;
                const run = this.runs.plan(active, ready, task, number, to, ticket);
                planned.push({ server: to, run });
            }
        }
        return planned;
    }

    #logPlaced(candidate: jobBoard.Candidate, placements: readonly scheduling.Placement[]): void {
        const { active, ready, rank } = candidate;
        this.shared.log.info("step-placed", {
            job: active.job.id,
            step: ready.step,
            occurrence: ready.occurrence,
            tasks: placements.length,
            of: ready.tasks.length,
            servers: [...new Set(placements.map(one => one.server.id))],
            slack: Math.round(rank.slack),
            age: this.shared.clock.wall() - active.job.submittedAt,
        });
    }

    /** Servers for which there are tickets; more are asked for when these can't take the whole step. */
    #listAdvised(
        candidate: jobBoard.Candidate,
        stepKey: string,
        open: readonly session.ServerSession[],
    ): scheduling.ServerLoad[] {
        const step = candidate.active.job.steps[candidate.ready.step]!;
        const allowed = open.filter(server => this.advice.find(stepKey, server) !== undefined);
        const room = allowed.filter(server => scheduling.fits(server.load, step, stepKey)).length;
        if (room < candidate.ready.tasks.length) {
            this.advice.request(candidate, stepKey, open.filter(one => scheduling.fits(one.load, step, stepKey)));
        }
        return allowed.map(server => server.load);
    }

    #nextRun(active: jobBoard.ActiveJob, occurrence: number, task: number): number {
        return (active.progress.occurrences.get(occurrence)?.histories.get(task)?.lastRun ?? 0) + 1;
    }

    #nextGangRun(active: jobBoard.ActiveJob, ready: scheduling.ReadyStep): number {
        return Math.max(...ready.tasks.map(task => this.#nextRun(active, ready.occurrence, task)));
    }
}
