/**
 * Asks a service of the platform single questions, one after the other, and checks the answers.
 */
import type * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as pQueue from "p-queue";
import * as answers from "./answers.js";
import * as connection from "./connection.js";
import type * as trafficMeter from "./traffic-meter.js";

export interface ServiceOptions {
    /** URL of the service. */
    readonly url: string;
    /** Time until the whole answer, in ms. */
    readonly timeoutMs: number;
    /** Source IP number. */
    readonly localAddress?: string;
    /** Told of the connection's bytes after each question. */
    readonly onBytes?: trafficMeter.TrafficListener;
}

/** A question, and the check of its answer. */
export interface CheckedQuestion<Message> {
    readonly method: connection.Question["method"];
    readonly path: string;
    readonly body?: unknown;
    readonly validate: answers.Check<Message>;
}

/** One service, on one connection. Questions wait for each other. */
export class Service {
    private readonly connection: connection.Connection;
    private readonly questions = new pQueue.default({ concurrency: 1 });

    constructor(private readonly options: ServiceOptions) {
        this.connection = new connection.Connection({ ...options, connectTimeoutMs: options.timeoutMs });
    }

    /** Asks without a retry, and returns the answer of whatever status. */
    ask(question: Omit<connection.Question, "timeoutMs">): Promise<
        neverthrow.Result<connection.Answer, errors.PlatformError>
    > {
        return this.questions.add(() => this.connection.ask({ ...question, timeoutMs: this.options.timeoutMs }));
    }

    /** Asks without a retry, and checks the answer. */
    async askChecked<Message>(
        question: CheckedQuestion<Message>,
    ): Promise<neverthrow.Result<Message, errors.PlatformError>> {
        const { method, path, body } = question;
        const outcome = await this.ask({ method, path, body });
        return outcome.andThen(answer => answers.readMessage(answer, question.validate));
    }

    /** Gives the connection up. */
    close(): void {
        this.connection.reset();
    }
}
