/**
 * Leader election through the ledger, the keyed topic that only the coordinator writes: its claim and heartbeats, the
 * progress of jobs and waves, and its orders for machines. Every process follows the ledger.
 *
 * When the coordinator has been silent for too long, a process claims the next epoch. It first makes the store refuse
 * all earlier epochs, with an append that is conditional on the end of the ledger, and only then stores its claim. A
 * claim is thus never followed by a record of an earlier epoch, however late that is carried out: such a record would
 * hide the claim from a process that reads only the newest record of each key. The sequence numbers of a process begin
 * at random, so the store accepts only one of several concurrent claims and no one takes another's answer for its own.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as storeClient from "@catkinwharf/store";
import * as crypto from "node:crypto";
import * as timers from "node:timers/promises";
import type * as clocks from "./clocks.js";
import * as serverFence from "./server-fence.js";

/** Time in ms between two heartbeats of the coordinator. */
export const heartbeatInterval = 300;
/**
 * Silence in ms after which a coordinator is considered gone, for a store without latency: several heartbeats, plus the
 * second during which followers receive nothing while the store drops old records of the ledger.
 */
const takeoverTimeout = 1500;
/** The same for a coordinator that doesn't respond to a probe, or denies that it coordinates: some heartbeats. */
const deniedTakeoverTimeout = 700;
/**
 * The same for a coordinator that responds to a probe that it coordinates: its heartbeats don't reach the followers, as
 * happens while the store drops old records of the ledger.
 */
const affirmedTakeoverTimeout = 3500;
/** Silence in ms after which the coordinator is probed; shorter silences are common, since heartbeats may be late. */
const probeAfter = 450;
/** Time in ms between two probes. */
const probeInterval = 200;
/**
 * Multiple of the coordinator's lateness by which its heartbeats and its response to a probe may be late: it adds the
 * record to a batch, encodes it and handles the store's response to the batch before, each after what is queued.
 */
const latenessAllowance = 3;
/** Longest time in ms by which that extends a timeout: the successor needs the rest of the leases. */
const maxLatenessExtension = 1000;
/** Multiple of the store's latency that a heartbeat may take in addition: its append and the reads that deliver it. */
const latencyAllowance = 4;
/**
 * Time in ms since the ledger was last read up to its end, above which missing heartbeats don't count as the
 * coordinator's silence: reads are failing or late. The store delays a read without new records by up to 1 s.
 */
const maxLedgerStaleness = 1800;
/** Longest random delay in ms of a process's claim, so that processes don't all claim at once. */
const maxClaimJitter = 300;
/**
 * Time in ms by which a process that defers claims later than another one would. A process that restarts after it
 * coordinated may claim without waiting for silence; another then needs the timeout for a coordinator that denies
 * to coordinate, the longest random delay, and some time to claim.
 */
const deferenceDelay = deniedTakeoverTimeout + maxClaimJitter + 150;
/** Time in ms between two checks of the coordinator, and before a failed append or read of a claim is repeated. */
const checkInterval = 100;
/** Exclusive upper bound of a process's first sequence number; with 2^47 of them, two processes don't draw the same. */
const firstSequenceLimit = 2 ** 47;

/** A term that a process has claimed. */
export interface Claim {
    readonly epoch: number;
    /** Sequence number of the claim in the ledger; the term's next append has the number after it. */
    readonly sequence: number;
    /** On the monotonic clock: when the claim was first sent; no later epoch had been claimed by then. */
    readonly claimedAt: number;
}

/** What a process knows about the coordinator when it decides whether to claim. */
export interface Observation {
    /** Newest leadership record; `undefined` when the ledger holds none. */
    readonly leadership: jobState.Leadership | undefined;
    /** Ms since the last record of the ledger, counted only while the ledger could be read. */
    readonly silence: number;
    /** Random delay in ms that this process adds to every timeout. */
    readonly jitter: number;
    /** Whether this process is too small to coordinate while a larger one can, or has lost its direct route to the store. */
    readonly defers: boolean;
    /** Average latency in ms of the store. */
    readonly latency: number;
    /**
     * Result of the last probe since the newest record; `undefined` if the coordinator wasn't probed or its address is
     * unknown.
     */
    readonly probeResult: storeClient.ProbeResult | undefined;
}

/** Silence in ms after which another process claims, by the result of the last probe; for a coordinator that isn't late. */
const takeoverTimeouts: Readonly<Record<storeClient.ProbeResult, number>> = {
    [storeClient.ProbeResult.coordinating]: affirmedTakeoverTimeout,
    [storeClient.ProbeResult.denied]: deniedTakeoverTimeout,
    [storeClient.ProbeResult.silent]: deniedTakeoverTimeout,
};

/** Ms by which a busy coordinator may be silent beyond the timeout. */
function computeLatenessExtension({ probeResult }: Observation, lateness: number): number {
    // Being busy doesn't explain that its process is gone or denies that it coordinates, and one that responded that it
    // does has the longest timeout already.
    return probeResult === undefined || probeResult === storeClient.ProbeResult.silent
        ? Math.min(maxLatenessExtension, latenessAllowance * lateness)
        : 0;
}

/** Whether the process should claim the next epoch now. */
export function shouldClaim(seen: Observation, node: string, processStart: number): boolean {
    const delay = seen.defers ? deferenceDelay : 0;
    if (seen.leadership === undefined || seen.leadership.resigned) {
        return seen.silence >= delay + seen.jitter;
    }
    const isPreviousIncarnation = seen.leadership.node === node && seen.leadership.processStart !== processStart;
    if (isPreviousIncarnation) {
        return seen.silence >= delay;
    }
    const timeout = seen.probeResult === undefined ? takeoverTimeout : takeoverTimeouts[seen.probeResult];
    // Not added to the delay of a process that defers, so that a takeover takes no longer than the leases allow.
    const extension = Math.max(delay, computeLatenessExtension(seen, seen.leadership.lateness));
    return seen.silence >= timeout + extension + latencyAllowance * seen.latency + seen.jitter;
}

/** Time in ms without the direct route to the store after which a coordinator may hand over. */
const minDirectLoss = 1500;
/**
 * Average latency in ms of the store through relays from which a coordinator hands over: its starts wait for their
 * intents, and a takeover takes less than the store makes them wait in a burst.
 */
const minRelayedLatency = 80;
/** Time in ms for which a coordinator doesn't hand over, so that processes alike don't take turns. */
const minTenure = 3000;

/** What a coordinator knows about its way to the store. */
export interface StoreAccess {
    /** Ms since its direct route to the store began to fail; 0 if it works. */
    readonly directLoss: number;
    /** Average latency in ms of the store, over whatever route. */
    readonly latency: number;
    /** Ms since it began to coordinate. */
    readonly tenure: number;
}

/** Whether the coordinator should resign, so that a process that reaches the store directly takes over. */
export function shouldHandOver({ directLoss, latency, tenure }: StoreAccess): boolean {
    return directLoss >= minDirectLoss && latency >= minRelayedLatency && tenure >= minTenure;
}

export class LeaderElection {
    /** Newest leadership record, of whichever process. */
    newestLeadership: jobState.Leadership | undefined;
    #lastHeardAt: number;
    #readable = false;
    #stopped = false;
    #claiming = false;
    #probing = false;
    #probedAt = Number.NEGATIVE_INFINITY;
    #probeResult: storeClient.ProbeResult | undefined;
    /** Whether this process has claimed the newest epoch and hasn't stepped down. */
    leading = false;
    /** The last claim of this process. */
    #claimed: Claim | undefined;
    /** Sequence number with which this process fences; the same for each attempt, so that a repeat is known as one. */
    readonly #firstSequence = crypto.randomInt(firstSequenceLimit);
    /** Highest epoch that the store refused to this process, as another one has taken it. */
    #takenEpoch = 0;
    /** On the monotonic clock: until when the process that has taken that epoch may still store its claim. */
    #claimableAt = Number.NEGATIVE_INFINITY;

    constructor(
        private readonly options: {
            readonly node: string;
            readonly processStart: number;
            readonly store: storeClient.StoreClient;
            readonly ledger: storeClient.TopicFollower;
            readonly log: eventLog.EventLog;
            readonly clock: clocks.Clocks;
            /** The process coordinates from now on; `before` is the last leadership record of an earlier epoch. */
            readonly onClaimed: (claim: Claim, before: jobState.Leadership | undefined) => void;
            /** Asks a peer whether it coordinates; `undefined` if its address is unknown. */
            readonly probeCoordinator: (node: string) => Promise<storeClient.ProbeResult | undefined>;
            /** Whether this process leaves coordinating to others while they can, see `Observation`. */
            readonly defers: () => boolean;
            /** Whether the process has read what it needs to coordinate. */
            readonly isPrepared: () => boolean;
        },
    ) {
        this.#lastHeardAt = options.clock.monotonic();
    }

    /** Applies a record of the ledger; any record, readable or not, ends the silence. */
    applyRecord(record: jobState.LedgerRecord | undefined): void {
        this.#lastHeardAt = this.options.clock.monotonic();
        this.#probeResult = undefined;
        if (record?.kind === "leadership" && record.leadership.epoch >= (this.newestLeadership?.epoch ?? 0)) {
            if (record.leadership.epoch !== this.newestLeadership?.epoch) {
                this.options.log.info("coordinator-seen", {
                    coordinator: record.leadership.node,
                    epoch: record.leadership.epoch,
                });
            }
            this.newestLeadership = record.leadership;
        }
        else if (record?.kind === "leadership") {
            this.options.log.warn("leadership-outdated", {
                coordinator: record.leadership.node,
                epoch: record.leadership.epoch,
                newest: this.newestLeadership?.epoch,
            });
        }
    }

    start(): void {
        const jitter = Math.random() * maxClaimJitter;
        const timer = setInterval(() => {
            if (this.#stopped) {
                clearInterval(timer);
                return;
            }
            this.#check(jitter);
        }, checkInterval);
    }

    stop(): void {
        this.#stopped = true;
    }

    #check(jitter: number): void {
        const { ledger, clock, store, node, processStart, isPrepared } = this.options;
        const now = clock.monotonic();
        const readable = ledger.loaded && clock.wall() - ledger.caughtUpAt < maxLedgerStaleness;
        if (!readable || !this.#readable) {
            // Silence counts only from when the ledger can be read again, unless it has no coordinator to wait for.
            this.#readable = readable;
            this.#lastHeardAt = Math.max(this.#lastHeardAt, readable && this.newestLeadership === undefined ? 0 : now);
            return;
        }
        const seen = {
            leadership: this.newestLeadership,
            silence: now - this.#lastHeardAt,
            jitter,
            defers: this.options.defers(),
            latency: store.latency,
            probeResult: this.#probeResult,
        };
        this.#probeIfSilent(seen, now);
        if (
            !this.leading && !this.#claiming && isPrepared() && now >= this.#claimableAt
            && shouldClaim(seen, node, processStart)
        ) {
            this.#claiming = true;
            void this.#claim(jitter).finally(() => this.#claiming = false);
        }
    }

    /** Probes a silent coordinator, to tell one that is gone from one whose heartbeats don't reach the followers. */
    #probeIfSilent(seen: Observation, now: number): void {
        const { probeCoordinator, node, log } = this.options;
        const coordinator = seen.leadership;
        const due = seen.silence >= probeAfter + latencyAllowance * seen.latency
            && now - this.#probedAt >= probeInterval;
        if (this.leading || this.#probing || !due || coordinator === undefined || coordinator.node === node) {
            return;
        }
        this.#probing = true;
        this.#probedAt = now;
        void probeCoordinator(coordinator.node).then(answer => {
            this.#probing = false;
            if (this.options.clock.monotonic() - this.#lastHeardAt < probeAfter) {
                return; // A record of the ledger arrived in the meantime.
            }
            const affirmed = answer === undefined || answer === storeClient.ProbeResult.coordinating;
            if (!affirmed && this.#probeResult !== answer) {
                log.info("coordinator-unanswered", {
                    coordinator: coordinator.node,
                    silence: Math.round(seen.silence),
                    lateness: coordinator.lateness,
                    result: answer,
                });
            }
            this.#probeResult = answer;
        });
    }

    async #claim(jitter: number): Promise<void> {
        const { ledger, log, clock } = this.options;
        const previous = this.newestLeadership;
        if (!await ledger.catchUp() || this.newestLeadership?.epoch !== previous?.epoch) {
            return;
        }
        // The same epoch's newest heartbeat, which has the longest tenure.
        const lastBeforeClaim = this.newestLeadership;
        const epoch = serverFence.computeNextEpoch(Math.max(lastBeforeClaim?.epoch ?? 0, this.#takenEpoch));
        const end = ledger.nextOffset;
        if (!await this.#fenceEarlierEpochs(epoch, end, jitter)) {
            return;
        }
        const claim = { epoch, sequence: this.#firstSequence + 1, claimedAt: clock.monotonic() };
        if (!await this.#storeClaim(claim)) {
            return;
        }
        this.#claimed = claim;
        this.leading = true;
        log.info("claimed", { epoch, end, after: previous?.node, previousEpoch: previous?.epoch });
        while (!await ledger.catchUp() && !this.#stopped) {
            await timers.setTimeout(checkInterval);
        }
        if (this.newestLeadership?.epoch === epoch && !this.#stopped) {
            this.options.onClaimed(claim, lastBeforeClaim);
        }
        else {
            await this.resign();
        }
    }

    /**
     * Takes the epoch: makes the store refuse all earlier ones, if it has stored nothing since the ledger was read up to
     * `end`. An attempt without an answer may have succeeded; the next one is a repeat of it then.
     */
    async #fenceEarlierEpochs(epoch: number, end: number, jitter: number): Promise<boolean> {
        const { store, ledger, log, clock } = this.options;
        const answer = await store.append(jobState.ledgerTopic, [], {
            end,
            producer: { name: jobState.ledgerProducer, epoch, sequence: this.#firstSequence },
        });
        if (answer.isErr()) {
            log.warn("claim-failed", { epoch, end, reason: answer.error.reason });
            return false;
        }
        const { kind } = answer.value;
        if (kind === "stored") {
            return true;
        }
        log.info("claim-refused", { epoch, end, outcome: kind });
        if (kind !== "moved") {
            this.#takenEpoch = epoch;
            this.#claimableAt = clock.monotonic() + deniedTakeoverTimeout + latencyAllowance * store.latency + jitter;
        }
        await ledger.catchUp();
        return false;
    }

    /** Stores the claim of an epoch that this process has taken; false if another process has taken a later one. */
    async #storeClaim({ epoch, sequence }: Claim): Promise<boolean> {
        const { store, log, node, processStart } = this.options;
        const record = jobState.encodeLeadership({
            epoch,
            node,
            processStart,
            resigned: false,
            ordersSettled: false,
            tenure: 0,
            lateness: 0,
            startDelay: 0,
        });
        for (;;) {
            const answer = await store.append(jobState.ledgerTopic, [record], {
                producer: { name: jobState.ledgerProducer, epoch, sequence },
            });
            if (answer.isOk()) {
                const { kind } = answer.value;
                if (kind !== "stored") {
                    log.info("claim-refused", { epoch, outcome: kind });
                }
                return kind === "stored";
            }
            log.warn("claim-failed", { epoch, reason: answer.error.reason });
            if (this.#stopped) {
                return false;
            }
            await timers.setTimeout(checkInterval);
        }
    }

    /**
     * Gives up the epoch that this process has claimed, if it still holds it and hasn't begun to coordinate, so that
     * another process claims the next one at once.
     */
    async resign(): Promise<void> {
        const { store, log, node, processStart } = this.options;
        const held = this.newestLeadership;
        const holds = this.leading && held?.node === node && held.processStart === processStart;
        this.leading = false;
        if (!holds || held.epoch !== this.#claimed?.epoch) {
            return;
        }
        const record = jobState.encodeLeadership({ ...held, resigned: true, ordersSettled: true });
        const answer = await store.append(jobState.ledgerTopic, [record], {
            producer: { name: jobState.ledgerProducer, epoch: held.epoch, sequence: this.#claimed.sequence + 1 },
        });
        log.info("claim-resigned", {
            epoch: held.epoch,
            outcome: answer.isOk() ? answer.value.kind : answer.error.reason,
        });
    }
}
