/**
 * The boots of backend servers to which coordinators have given leases, as the ledger has them, and how long a boot may
 * hold a lease that its coordinator didn't mean for it.
 *
 * The end of a lease is a time on the server's clock, which starts anew with each boot. An order that was meant for an
 * earlier boot therefore names an end far ahead of the clock of the boot that receives it, and gives it the longest lease
 * allowed. A boot is stored before any order gives it a lease. So a coordinator that gets an answer of a boot which isn't
 * stored knows that orders of its predecessors may have been meant for another one.
 */
import * as jobState from "@catkinwharf/job-state";
import * as context from "./context.js";

/** Reading of a server's clock in an answer. */
export interface BootReading {
    /** Unix time in ms of the boot; `undefined` if the server doesn't tell. */
    readonly bootedAt: number | undefined;
    /** In ms, on the server's clock. */
    readonly clock: number;
}

/** Durations of leases in ms. */
export interface LeaseBounds {
    /** Of those that coordinators give. */
    readonly lease: number;
    /** Of the longest that servers grant. */
    readonly maxLease: number;
}

/**
 * The newest boot of a server, as a new coordinator has to take it after the first answer.
 *
 * @param stored the boot in the ledger; `undefined` if no coordinator has given the server a lease
 * @param holdsRuns whether the ledger has runs on the server; earlier versions didn't store boots
 */
export function judgeFirstAnswer(
    stored: jobState.ServerBoot | undefined,
    { bootedAt, clock }: BootReading,
    holdsRuns: boolean,
    { maxLease }: LeaseBounds,
): jobState.ServerBoot {
    if (stored?.bootedAt === bootedAt && stored !== undefined) {
        return stored;
    }
    // With this answer the server has the new coordinator's fencing token, so it refuses the orders of earlier ones.
    return { bootedAt, leaseEnd: stored === undefined && !holdsRuns ? undefined : clock + maxLease };
}

/**
 * A boot that shows by an answer to a coordinator which knew another one. Its own orders, sent until the answer came, may
 * still be under way.
 *
 * @param age time in ms since the call was sent
 */
export function judgeNextBoot({ bootedAt, clock }: BootReading, age: number, bounds: LeaseBounds): jobState.ServerBoot {
    return { bootedAt, leaseEnd: clock + age + context.serverCallTimeout + bounds.maxLease };
}

interface KnownBoot {
    readonly boot: jobState.ServerBoot;
    stored: boolean;
    /** On the monotonic clock: since when no server with the ID is known; `undefined` while one is. */
    unusedSince: number | undefined;
}

/** Retention of an unused boot, as a multiple of the leases that it may hold: servers' clocks may be slow. */
const retentionFactor = 1.1;

export class ServerBoots {
    readonly #known = new Map<string, KnownBoot>();

    /** @param stored the boots in the ledger, by server ID */
    constructor(
        private readonly shared: Pick<context.CoordinatorContext, "writer" | "log">,
        private readonly bounds: LeaseBounds,
        stored: ReadonlyMap<string, jobState.ServerBoot>,
    ) {
        for (const [id, boot] of stored) {
            this.#known.set(id, { boot, stored: true, unusedSince: undefined });
        }
    }

    find(id: string): jobState.ServerBoot | undefined {
        return this.#known.get(id)?.boot;
    }

    /** Whether the ledger has this boot, so that it may be given leases. */
    isStored(id: string, bootedAt: number | undefined): boolean {
        const known = this.#known.get(id);
        return known?.stored === true && known.boot.bootedAt === bootedAt;
    }

    /** Stores the newest boot of a server, unless it is stored already. */
    record(id: string, boot: jobState.ServerBoot): void {
        const before = this.#known.get(id);
        if (before?.boot === boot) {
            return;
        }
        const isSameBoot = before !== undefined && before.boot.bootedAt === boot.bootedAt;
        const known: KnownBoot = { boot, stored: isSameBoot && before.stored, unusedSince: undefined };
        this.#known.set(id, known);
        this.shared.log.info("server-boot", { server: id, ...boot, before: before?.boot.bootedAt });
        this.shared.writer.add(jobState.encodeServerBoot(id, boot));
        void this.shared.writer.flush().then(stored => known.stored ||= stored);
    }

    /** Notes an answer of the stored boot: a lease that it has outlasted needn't be known to later coordinators. */
    recordClock(id: string, { bootedAt, clock }: BootReading): void {
        const boot = this.find(id);
        if (boot?.leaseEnd !== undefined && boot.bootedAt === bootedAt && clock > boot.leaseEnd) {
            this.record(id, { bootedAt, leaseEnd: undefined });
        }
    }

    /** Forgets the boots of servers that have been away for so long that no lease of theirs can be left. */
    sweep(isUsed: (id: string) => boolean, now: number): void {
        const retention = retentionFactor * (this.bounds.lease + this.bounds.maxLease) + context.serverCallTimeout;
        for (const [id, known] of this.#known) {
            known.unusedSince = isUsed(id) ? undefined : known.unusedSince ?? now;
            if (known.unusedSince !== undefined && now - known.unusedSince >= retention) {
                this.#known.delete(id);
                this.shared.writer.add(jobState.encodeServerTombstone(id));
            }
        }
    }
}
