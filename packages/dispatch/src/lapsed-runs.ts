/**
 * Runs that ended with the lease of their server, by server. Whether the server had crashed shows when it is seen again.
 *
 * They are kept longer than the server's session, as a crashed server may be unlisted until it is back.
 */
import type * as session from "./server-session.js";

interface Lapse {
    readonly bootedAt: number | undefined;
    readonly runs: readonly session.StartedRun[];
    /** On the monotonic clock. */
    readonly lapsedAt: number;
}

/** Time in ms for which they are remembered. */
const retention = 120_000;

export class LapsedRuns {
    readonly #lapses = new Map<string, Lapse>();

    /** @param now on the monotonic clock */
    remember(server: session.ServerSession, runs: readonly session.ActiveRun[], now: number): void {
        if (server.entry.draining) {
            return;
        }
        for (const [id, { lapsedAt }] of this.#lapses) {
            if (now - lapsedAt >= retention) {
                this.#lapses.delete(id);
            }
        }
        const { bootedAt, entry } = server;
        const before = this.#lapses.get(entry.id);
        const earlier = before?.bootedAt === bootedAt ? before?.runs ?? [] : [];
        this.#lapses.set(entry.id, {
            bootedAt,
            runs: [...earlier, ...server.describeStartedRuns(runs)],
            lapsedAt: now,
        });
    }

    /** Takes the runs of a server, if it has another boot time since; else forgets them. */
    take(id: string, bootedAt: number | undefined): readonly session.StartedRun[] {
        const lapse = this.#lapses.get(id);
        this.#lapses.delete(id);
        return lapse?.bootedAt === undefined || lapse.bootedAt === bootedAt ? [] : lapse.runs;
    }

    /** The server is up in the boot under which they lapsed. */
    forget(id: string): void {
        this.#lapses.delete(id);
    }
}
