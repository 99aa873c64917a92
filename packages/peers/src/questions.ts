/**
 * Questions of one connection that wait for their answers, by exchange number.
 */
import * as errors from "@catkinwharf/errors";
import type * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import type * as messages from "./messages.js";

/** Kind of the answer to each kind of question. */
export const answerKinds = {
    "dispatch": "dispatch-answer",
    "key-query": "key-answer",
    "records-query": "records-answer",
} as const;

export type QuestionKind = keyof typeof answerKinds;
export type AnswerTo<Kind extends QuestionKind> = messages.MessageOf<(typeof answerKinds)[Kind]>;
export type AnswerOutcome<Kind extends QuestionKind> = neverthrow.Result<AnswerTo<Kind>, errors.PeerError>;

interface WaitingQuestion {
    readonly answerKind: string;
    readonly timer: NodeJS.Timeout;
    readonly settle: (outcome: neverthrow.Result<schema.peer.PeerMessage, errors.PeerError>) => void;
}

/** How an answer fits the questions. */
export const AnswerFit = { matched: "matched", late: "late", wrongKind: "wrong-kind" } as const;
export type AnswerFit = (typeof AnswerFit)[keyof typeof AnswerFit];

/** Settles each question once: by its answer, by its timeout, or by the end of the connection. */
export class QuestionTable {
    private readonly waiting = new Map<number, WaitingQuestion>();

    /** Waits for the answer to a question whose bytes were given to the socket. */
    wait<Kind extends QuestionKind>(exchange: number, kind: Kind, timeoutMs: number): Promise<AnswerOutcome<Kind>> {
        return new Promise(resolve => {
            const timer = setTimeout(() => {
                this.settle(exchange, createError(errors.PeerFault.timedOut, `no answer within ${timeoutMs} ms`));
            }, timeoutMs);
            const settle = resolve as WaitingQuestion["settle"];
            this.waiting.set(exchange, { answerKind: answerKinds[kind], timer, settle });
        });
    }

    /** Pairs an answer with its question. */
    takeAnswer(answer: schema.peer.PeerMessage & { readonly exchange: number; }): AnswerFit {
        const question = this.waiting.get(answer.exchange);
        if (question === undefined) {
            return AnswerFit.late;
        }
        if (question.answerKind !== answer.kind) {
            return AnswerFit.wrongKind;
        }
        this.settle(answer.exchange, neverthrow.ok(answer));
        return AnswerFit.matched;
    }

    /** The connection is lost: no question gets an answer any more. */
    loseAll(reason: string): void {
        const exchanges = [...this.waiting.keys()];
        exchanges.forEach(exchange => this.settle(exchange, createError(errors.PeerFault.lost, reason)));
    }

    private settle(exchange: number, outcome: neverthrow.Result<schema.peer.PeerMessage, errors.PeerError>): void {
        const question = this.waiting.get(exchange);
        if (question !== undefined) {
            this.waiting.delete(exchange);
            clearTimeout(question.timer);
            question.settle(outcome);
        }
    }
}

/** An error of this layer. */
export function createError(fault: errors.PeerFault, reason: string): neverthrow.Result<never, errors.PeerError> {
    return neverthrow.err({ layer: "peer", fault, reason });
}
