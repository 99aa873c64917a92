/**
 * Passes questions about jobs on to peers while this process can't answer them itself: to large ones first, to a few at a
 * time, and for a bounded number of questions at a time.
 *
 * A peer that doesn't answer, among them one of an earlier version, isn't asked for a while; nor, for a shorter one, is a
 * peer that hasn't read enough itself. When no peer is left, the question ends at once.
 */
import * as intake from "@catkinwharf/intake";
import * as jobState from "@catkinwharf/job-state";
import * as timers from "node:timers/promises";
import * as pQueue from "p-queue";

export interface AskedPeer {
    readonly node: string;
    /** Host and port. */
    readonly address: string;
    readonly large: boolean;
}

export interface PeerQuestionsOptions {
    readonly listPeers: () => readonly AskedPeer[];
    /** Whether this process has read what is stored since its start. */
    readonly hasRead: () => boolean;
    /** Learns the addresses of peers; called when none is known that answers. */
    readonly findPeers: () => Promise<void>;
    /** Sends an encoded question; returns the encoded answer, `undefined` if none arrives within `timeout` ms. */
    readonly send: (address: string, encoded: Uint8Array, timeout: number) => Promise<Uint8Array | undefined>;
    /** Monotonic time in ms. */
    readonly monotonicNow: () => number;
    /** Numbers from 0 to 1. */
    readonly random: () => number;
    /** Counts a question in the metrics, by its outcome. */
    readonly count: (outcome: QuestionOutcome) => void;
}

/** What became of a question. */
export const QuestionOutcome = {
    answered: "answered",
    /** No peer answered, or none could tell. */
    untold: "untold",
    /** Too many waited. */
    refused: "refused",
} as const;
export type QuestionOutcome = (typeof QuestionOutcome)[keyof typeof QuestionOutcome];

/** Questions of this process that are under way at a time; peers are kept from the crowd of its callers. */
const maxUnderWay = 24;
/** Questions that wait for those at most. */
const maxWaiting = 500;
/** Peers that are asked one question at a time, and in all. */
const maxAskedAtOnce = 3;
const maxAsked = 6;
/** The same in all when this process has read what is stored: then the store is probably slow for its peers, too. */
const maxAskedOfStore = 2;
/** Time in ms after which the next peer is asked as well; a healthy one answers within a few ms. */
const staggerDelay = 150;
/** Time in ms for which a peer that gave no answer isn't asked. */
const silenceBackoff = 2000;
/** Time in ms for which a peer that couldn't tell isn't asked. */
const untoldBackoff = 300;

interface Avoidance {
    /** Monotonic time in ms. */
    readonly until: number;
    /** The peer gave no answer. */
    readonly silent: boolean;
}

export class PeerQuestions {
    readonly #queue = new pQueue.default({ concurrency: maxUnderWay });
    /** Peers that aren't asked for a while, by kind of question and address. */
    readonly #avoided: Readonly<Record<jobState.Question["kind"], Map<string, Avoidance>>> = {
        status: new Map(),
        count: new Map(),
    };

    constructor(private readonly options: PeerQuestionsOptions) {}

    /**
     * Asks peers until one can tell; `undefined` if none can, or none is left to ask.
     *
     * @param deadline monotonic time in ms
     */
    async ask(question: jobState.Question, deadline: number): Promise<intake.PeerAnswer | undefined> {
        if (this.#queue.size >= maxWaiting) {
            this.options.count(QuestionOutcome.refused);
            return undefined;
        }
        const answer = await this.#queue.add(() => this.#ask(question, deadline));
        this.options.count(answer === undefined ? QuestionOutcome.untold : QuestionOutcome.answered);
        return answer;
    }

    async #ask(question: jobState.Question, deadline: number): Promise<intake.PeerAnswer | undefined> {
        if (this.options.monotonicNow() >= deadline) {
            return undefined; // It has waited for too long.
        }
        const asked = new Set<string>();
        const underWay = new Set<Promise<intake.PeerAnswer | undefined>>();
        const encoded = jobState.encodeQuestion(question);
        const mostAsked = this.options.hasRead() ? maxAskedOfStore : maxAsked;
        if (this.options.listPeers().every(({ address }) => this.#findAvoidance(address, question)?.silent === true)) {
            await intake.waitFor(deadline - this.options.monotonicNow(), this.options.findPeers());
        }
        for (;;) {
            const timeLeft = deadline - this.options.monotonicNow();
            const peer = underWay.size < maxAskedAtOnce && asked.size < mostAsked && timeLeft > 0
                ? this.#choosePeer(asked, question)
                : undefined;
            if (peer !== undefined) {
                asked.add(peer.address);
                const call = this.#askPeer(
                    peer,
                    question,
                    encoded,
                    Math.min(timeLeft, intake.questionTimeouts[question.kind]),
                );
                underWay.add(call);
                void call.finally(() => underWay.delete(call));
            }
            if (underWay.size === 0) {
                return undefined;
            }
            const wakeUp = new AbortController();
            const stagger = timers.setTimeout(staggerDelay, undefined, { signal: wakeUp.signal });
            const answer = await Promise.race([...underWay, stagger.catch(() => undefined)]);
            wakeUp.abort();
            if (answer !== undefined) {
                return answer;
            }
        }
    }

    /** `undefined` if the peer can't tell or gives no answer; it isn't asked for a while then. */
    async #askPeer(
        { node, address }: AskedPeer,
        question: jobState.Question,
        encoded: Uint8Array,
        timeout: number,
    ): Promise<intake.PeerAnswer | undefined> {
        const received = await this.options.send(address, encoded, timeout);
        const answer = received === undefined ? undefined : jobState.decodeQuestionAnswer(received, question);
        if (answer === undefined || answer.kind === "untold") {
            const silent = answer === undefined;
            const backoff = silent ? silenceBackoff : untoldBackoff;
            this.#avoided[question.kind].set(address, { until: this.options.monotonicNow() + backoff, silent });
            return undefined;
        }
        return { node, answer };
    }

    /** A peer that wasn't asked yet and isn't avoided: a large one if there is one, else any. */
    #choosePeer(asked: ReadonlySet<string>, question: jobState.Question): AskedPeer | undefined {
        const left = this.options.listPeers().filter(({ address }) =>
            !asked.has(address) && this.#findAvoidance(address, question) === undefined
        );
        const large = left.filter(peer => peer.large);
        const candidates = large.length > 0 ? large : left;
        return candidates[Math.floor(this.options.random() * candidates.length)];
    }

    #findAvoidance(address: string, { kind }: jobState.Question): Avoidance | undefined {
        const avoidance = this.#avoided[kind].get(address);
        return avoidance !== undefined && this.options.monotonicNow() < avoidance.until ? avoidance : undefined;
    }
}
