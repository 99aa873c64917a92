/**
 * Judges, from what the servers see, whether too many tasks of a long-running step are away at once: an order ends a task
 * that is at work while as many others as allowed are away, because an order has ended them or for longer than the notice.
 */

/** Time in ms after which a task that isn't at work counts as away, whatever the cause. */
export const notice = 4500;

interface TaskState {
    runsAtWork: number;
    awaySince: number;
    /** Ended by an order, and not at work since. */
    endedByOrder: boolean;
}

interface StepState {
    readonly maxUnavailable: number;
    readonly tasks: TaskState[];
}

/** An end of a run by an order. */
export interface OrderedEnd {
    readonly task: string;
    /** The order that ended it. */
    readonly order: "stop" | "move" | "maintenance" | "lapse";
    readonly wasAtWork: boolean;
    /** The server isn't draining, and the order was carried out as soon as it was sent. */
    readonly counts: boolean;
}

export interface Violation extends OrderedEnd {
    readonly at: number;
    /** Indices of the others that are away. */
    readonly away: readonly number[];
}

export class AvailabilityRule {
    readonly violations: Violation[] = [];
    readonly #steps = new Map<string, StepState>();

    constructor(private readonly now: () => number) {}

    addStep(stepKey: string, taskCount: number, maxUnavailable: number): void {
        const awaySince = this.now();
        const tasks = Array.from({ length: taskCount }, () => ({ runsAtWork: 0, awaySince, endedByOrder: false }));
        this.#steps.set(stepKey, { maxUnavailable, tasks });
    }

    recordAtWork(task: string): void {
        const state = this.#find(task).state;
        state.runsAtWork += 1;
        state.endedByOrder = false;
    }

    recordAway(task: string): void {
        const state = this.#find(task).state;
        state.runsAtWork -= 1;
        state.awaySince = this.now();
    }

    recordOrderedEnd(end: OrderedEnd): void {
        const { step, state, index } = this.#find(end.task);
        const away = step.tasks.flatMap((other, i) => i !== index && this.#isAway(other) ? [i] : []);
        if (end.wasAtWork && end.counts && away.length >= step.maxUnavailable) {
            this.violations.push({ ...end, at: Math.round(this.now()), away });
        }
        state.endedByOrder = state.runsAtWork === 0;
    }

    #isAway(task: TaskState): boolean {
        return task.runsAtWork === 0 && (task.endedByOrder || this.now() - task.awaySince >= notice);
    }

    #find(task: string): { readonly step: StepState; readonly state: TaskState; readonly index: number; } {
        const end = task.lastIndexOf(".");
        const step = this.#steps.get(task.slice(0, end))!;
        const index = Number(task.slice(end + 1));
        return { step, state: step.tasks[index]!, index };
    }
}
