/**
 * Who coordinates. Every process follows the ledger; one whose coordinator has been silent claims the next epoch with
 * an append that holds only if the ledger hasn't grown since. The store lets one claim through.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as storeClient from "@catkinwharf/store";
import * as timers from "node:timers/promises";
import type * as clocks from "./clocks.js";

/** Time in ms between two signs of life of the coordinator. */
export const beatInterval = 300;
/**
 * Silence in ms after which a coordinator is taken to be gone, at a store that answers at once: some beats, and the second
 * for which a store that drops its history tells followers nothing.
 */
const takeoverSilence = 1500;
/** The same for a coordinator that, asked, doesn't answer or says that it can't coordinate: some beats. */
const deniedSilence = 700;
/** The same for one that says it coordinates, so the ledger's followers are deaf, as while a store drops its history. */
const affirmedSilence = 3500;
/** Silence in ms after which the coordinator is asked; a beat may be late by as much. */
const askAfter = 450;
/** Time in ms between two questions to it. */
const askInterval = 200;
/** Answers of a slow store that a sign of life may take on top: its append, and the reads that bring it. */
const slowAnswers = 4;
/** Time in ms after which a ledger whose end wasn't seen can't be judged: a read waits for 1 s at most. */
const readablePatience = 1800;
/** Time in ms over which the processes' claims spread, so that they don't all come at once. */
const claimSpread = 300;
/** Time in ms between two looks. */
const lookInterval = 100;

/** What is known of the coordinator, and for how long it has been silent. */
export interface Observation {
    readonly leadership: jobState.Leadership | undefined;
    /** Ms since the ledger last grew, counted only while it could be read. */
    readonly silence: number;
    /** Time in ms for which this process waits longer than others. */
    readonly stagger: number;
    /** Usual time in ms of the store's answers. */
    readonly latency: number;
    /** What the coordinator says when it is asked: whether it coordinates. `undefined` before it was asked. */
    readonly answer: boolean | undefined;
}

/** Silence in ms after which a coordinator is succeeded, by what it answers. */
function findPatience(answer: boolean | undefined): number {
    if (answer === undefined) {
        return takeoverSilence;
    }
    return answer ? affirmedSilence : deniedSilence;
}

/** Whether the process should claim the coordination now. */
export function shouldClaim(seen: Observation, node: string, processStart: number): boolean {
    if (seen.leadership === undefined || seen.leadership.resigned) {
        return seen.silence >= seen.stagger;
    }
    const formerLife = seen.leadership.node === node && seen.leadership.processStart !== processStart;
    return formerLife || seen.silence >= findPatience(seen.answer) + slowAnswers * seen.latency + seen.stagger;
}

export class LeadershipWatch {
    leadership: jobState.Leadership | undefined;
    #lastSign: number;
    #readable = false;
    #stopped = false;
    #claiming = false;
    #asking = false;
    #askedAt = Number.NEGATIVE_INFINITY;
    #answer: boolean | undefined;
    leading = false;

    constructor(
        private readonly options: {
            readonly node: string;
            readonly processStart: number;
            readonly store: storeClient.StoreClient;
            readonly ledger: storeClient.TopicFollower;
            readonly log: eventLog.EventLog;
            readonly clock: clocks.Clocks;
            /** The process coordinates from now on, under this epoch; `before` is the last sign of life before it. */
            readonly onClaimed: (epoch: number, before: jobState.Leadership | undefined) => void;
            /** Asks another process whether it coordinates; false without an answer, `undefined` when it can't be asked. */
            readonly ask: (node: string) => Promise<boolean | undefined>;
            /** Tells whether the process knows enough to coordinate. */
            readonly isPrepared: () => boolean;
        },
    ) {
        this.#lastSign = options.clock.steady();
    }

    /** A record of the ledger was read. */
    noteRecord(record: jobState.LedgerRecord | undefined): void {
        this.#lastSign = this.options.clock.steady();
        this.#answer = undefined;
        if (record?.kind === "leadership" && record.leadership.epoch >= (this.leadership?.epoch ?? 0)) {
            if (record.leadership.epoch !== this.leadership?.epoch) {
                this.options.log.info("coordinator-seen", {
                    coordinator: record.leadership.node,
                    epoch: record.leadership.epoch,
                });
            }
            this.leadership = record.leadership;
        }
    }

    start(): void {
        const stagger = Math.random() * claimSpread;
        const timer = setInterval(() => {
            if (this.#stopped) {
                clearInterval(timer);
                return;
            }
            this.#look(stagger);
        }, lookInterval);
    }

    stop(): void {
        this.#stopped = true;
    }

    #look(stagger: number): void {
        const { ledger, clock, store, node, processStart, isPrepared } = this.options;
        const now = clock.steady();
        const readable = ledger.loaded && clock.wall() - ledger.currentAt < readablePatience;
        if (!readable || !this.#readable) {
            // Silence counts only from when the ledger can be read again.
            this.#readable = readable;
            this.#lastSign = Math.max(this.#lastSign, readable && this.leadership === undefined ? 0 : now);
            return;
        }
        const seen = {
            leadership: this.leadership,
            silence: now - this.#lastSign,
            stagger,
            latency: store.latency,
            answer: this.#answer,
        };
        this.#askCoordinator(seen, now);
        if (
            !this.leading && !this.#claiming && isPrepared()
            && shouldClaim(seen, node, processStart)
        ) {
            this.#claiming = true;
            void this.#claim().finally(() => this.#claiming = false);
        }
    }

    /** Asks a coordinator that has been silent for a while; a store that drops its history makes followers deaf, too. */
    #askCoordinator(seen: Observation, now: number): void {
        const { ask, node, log } = this.options;
        const coordinator = seen.leadership;
        const due = seen.silence >= askAfter + slowAnswers * seen.latency && now - this.#askedAt >= askInterval;
        if (this.leading || this.#asking || !due || coordinator === undefined || coordinator.node === node) {
            return;
        }
        this.#asking = true;
        this.#askedAt = now;
        void ask(coordinator.node).then(answer => {
            this.#asking = false;
            if (this.options.clock.steady() - this.#lastSign < askAfter) {
                return; // A sign of life came meanwhile.
            }
            if (answer === false && this.#answer !== false) {
                log.info("coordinator-unanswered", {
                    coordinator: coordinator.node,
                    silence: Math.round(seen.silence),
                });
            }
            this.#answer = answer;
        });
    }

    async #claim(): Promise<void> {
        const { store, ledger, log, node, processStart } = this.options;
        const before = this.leadership;
        if (!await ledger.catchUp() || this.leadership?.epoch !== before?.epoch) {
            return;
        }
        const last = this.leadership;
        const epoch = (before?.epoch ?? 0) + 1;
        const claim = jobState.encodeLeadership({
            epoch,
            node,
            processStart,
            resigned: false,
            ordersSettled: false,
            tenure: 0,
        });
        // No producer here: the store would take another process's claim of the same epoch for a repeat of this one.
        const answer = await store.append(jobState.ledgerTopic, [claim], { end: ledger.end });
        if (answer.isErr()) {
            // The claim may have been stored: then the ledger names this process, and the look after it says so.
            await ledger.catchUp();
            const named = this.leadership as jobState.Leadership | undefined;
            if (named?.epoch !== epoch || named.node !== node || named.processStart !== processStart) {
                log.warn("claim-failed", { epoch, reason: answer.error.reason });
                return;
            }
        }
        else if (answer.value.kind !== "stored") {
            log.info("claim-refused", { epoch, outcome: answer.value.kind });
            await ledger.catchUp();
            return;
        }
        await ledger.catchUp();
        this.leading = true;
        log.info("claimed", { epoch, after: before?.node });
        if (await this.#fenceEarlier(epoch)) {
            this.options.onClaimed(epoch, last);
        }
        else {
            this.leading = false;
        }
    }

    /** From here on the store refuses earlier coordinators; then reads what they have stored until now. */
    async #fenceEarlier(epoch: number): Promise<boolean> {
        const { store, ledger, log } = this.options;
        while (!this.#stopped && this.leadership?.epoch === epoch) {
            const answer = await store.append(jobState.ledgerTopic, [], {
                producer: { name: jobState.ledgerProducer, epoch, sequence: 0 },
            });
            if (answer.isOk() && answer.value.kind === "fenced") {
                log.info("claim-refused", { epoch, outcome: "fenced" });
                return false;
            }
            if (answer.isOk() && await ledger.catchUp()) {
                return this.leadership?.epoch === epoch;
            }
            await timers.setTimeout(lookInterval);
        }
        return false;
    }
}
