/**
 * Starts that got no response. A server may carry one out seconds later, also in its next boot, which knows nothing of a stop
 * that the boot before confirmed. So each later boot is told of the stop as soon as it lists its runs.
 */
import * as platform from "@catkinwharf/platform";
import * as context from "./context.js";
import type * as session from "./server-session.js";

interface StrayStart {
    readonly run: session.ActiveRun;
    /** On the monotonic clock. */
    readonly sentAt: number;
    /** Newest boot of the server that knows of the run or of its stop. */
    bootId: string;
}

/** Time in ms after its sending for which a start is stopped in later boots. */
const retention = 15_000;

export class StrayStarts {
    /** By server ID. */
    readonly #starts = new Map<string, StrayStart[]>();

    constructor(private readonly shared: context.CoordinatorContext) {}

    /** The start got no response. */
    add(server: session.ServerSession, run: session.ActiveRun): void {
        const now = this.shared.clock.monotonic();
        const kept = this.#list(server, now).filter(other => other.run !== run);
        kept.push({ run, sentAt: run.startLastSentAt ?? now, bootId: run.bootId });
        this.#starts.set(server.entry.id, kept);
    }

    /** The server has listed its runs: stops those in its newest boot whose runs have ended since. */
    stopInNewestBoot(server: session.ServerSession): void {
        for (const start of this.#list(server, this.shared.clock.monotonic())) {
            const { run } = start;
            if (start.bootId !== server.bootId && server.runs.get(run.name) !== run) {
                const { bootId } = start;
                start.bootId = server.bootId;
                this.shared.log.info("stray-start-stopped", {
                    task: run.name,
                    server: server.entry.id,
                    boot: server.bootId,
                });
                const call = platform.serverCalls.createStopCall(server.entry.id, {
                    task: { jobId: run.entry.id, ...run.position },
                    run: run.runNumber,
                    fencingToken: this.shared.epoch,
                });
                void this.shared.serverCalls.send(server.entry.address, call, context.serverCallTimeout).then(
                    answer => {
                        if (answer.isErr()) {
                            start.bootId = bootId; // The next list repeats the stop.
                        }
                    },
                );
            }
        }
    }

    #list({ entry }: session.ServerSession, now: number): StrayStart[] {
        const starts = this.#starts.get(entry.id);
        if (starts === undefined) {
            return [];
        }
        const kept = starts.filter(({ sentAt }) => now - sentAt < retention);
        if (kept.length === 0) {
            this.#starts.delete(entry.id);
        }
        else {
            this.#starts.set(entry.id, kept);
        }
        return kept;
    }
}
