/**
 * Judges, from what the servers see, whether a task runs twice: a run starts while another one is under way on a server that
 * is up, or after one that has done its work and whose end is acknowledged, then or later.
 */

/** A run as its server sees it. */
export interface ServerRun {
    readonly task: string;
    readonly number: number;
    readonly server: string;
    /** Whether the run is under way and its lease hasn't expired, also while nothing of it is heard. */
    readonly isUnderWay: () => boolean;
}

export interface DoubleRun {
    readonly at: number;
    readonly task: string;
    /** Each as "<run number> on <server>", the earlier one first. */
    readonly runs: readonly [string, string];
    readonly how: "at once" | "after its end";
}

/** A run that has done its work. */
interface DoneRun {
    readonly run: ServerRun;
    acknowledged: boolean;
    /** The first run that started afterwards, and when. */
    next: { readonly run: ServerRun; readonly at: number; } | undefined;
}

export class SingleRunRule {
    readonly violations: DoubleRun[] = [];
    /** Runs that were started, by task. */
    readonly #started = new Map<string, ServerRun[]>();
    readonly #done = new Map<string, DoneRun[]>();

    constructor(private readonly now: () => number) {}

    recordStart(run: ServerRun): void {
        const others = (this.#started.get(run.task) ?? []).filter(other => other.isUnderWay());
        others.forEach(other => this.#add(other, run, this.now(), "at once"));
        this.#started.set(run.task, [...others, run]);
        for (const done of this.#done.get(run.task) ?? []) {
            done.next ??= { run, at: this.now() };
            if (done.acknowledged) {
                this.#add(done.run, run, this.now(), "after its end");
            }
        }
    }

    recordDone(run: ServerRun): void {
        const list = this.#done.get(run.task) ?? [];
        list.push({ run, acknowledged: false, next: undefined });
        this.#done.set(run.task, list);
    }

    /** The end of the run, which has done its work, was acknowledged; its server's lease hasn't expired in between. */
    recordAcknowledgement(run: ServerRun): void {
        const done = this.#done.get(run.task)?.find(other => other.run === run);
        if (done !== undefined && !done.acknowledged) {
            done.acknowledged = true;
            if (done.next !== undefined) {
                this.#add(run, done.next.run, done.next.at, "after its end");
            }
        }
    }

    #add(earlier: ServerRun, later: ServerRun, at: number, how: DoubleRun["how"]): void {
        const describe = ({ number, server }: ServerRun) => `${number} on ${server}`;
        const runs = [describe(earlier), describe(later)] as const;
        this.violations.push({ at: Math.round(at), task: later.task, runs, how });
    }
}
