/**
 * Runs that ended with the lease of their server, by server. Whether the server had crashed shows when it is seen again.
 *
 * They are kept longer than the server's session, as a crashed server may be unlisted until it is back.
 */
import type * as scheduling from "@catkinwharf/scheduling";
import * as session from "./server-session.js";

interface Lapse {
    readonly bootedAt: number | undefined;
    readonly runs: readonly session.StartedRun[];
    readonly outage: scheduling.Outage | undefined;
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
        const { entry } = server;
        // This coordinator may not have seen the boot, which the runs of an earlier one name.
        const bootedAt = server.bootedAt ?? session.parseBootTime(runs[0]?.bootId ?? "");
        const before = this.#lapses.get(entry.id);
        const earlier = before?.bootedAt === bootedAt ? before?.runs ?? [] : [];
        this.#lapses.set(entry.id, {
            bootedAt,
            runs: [...earlier, ...server.describeStartedRuns(runs)],
            outage: server.outage,
            lapsedAt: now,
        });
    }

    /** Takes the runs of a server, with the outage in which they lapsed, if it has another boot time since; else forgets them. */
    take(id: string, bootedAt: number | undefined): Pick<Lapse, "runs" | "outage"> {
        const lapse = this.#lapses.get(id);
        this.#lapses.delete(id);
        return lapse?.bootedAt === undefined || lapse.bootedAt === bootedAt
            ? { runs: [], outage: undefined }
            : lapse;
    }

    /** The server is up in the boot under which they lapsed. */
    forget(id: string): void {
        this.#lapses.delete(id);
    }
}
