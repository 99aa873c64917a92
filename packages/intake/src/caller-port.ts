/**
 * Callers' interface: jobs are submitted, asked for and cancelled on the paths of their queues.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import type * as http from "node:http";
import * as polka from "polka";
import * as routeTable from "./route-table.js";
import * as submissionKeeper from "./submission-keeper.js";

/** What the port asks of the process around it. */
export interface IntakeParts {
    readonly jobs: jobState.JobTable;
    readonly keeper: submissionKeeper.SubmissionKeeper;
    readonly log: eventLog.EventLog;
    readonly steady: () => number;
    readonly wall: () => number;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Reads the submissions to their present end; false when the store couldn't be asked. */
    readonly refreshJobs: () => Promise<boolean>;
    /** The store is known to be out of reach: submissions are refused at once. */
    readonly isStoreLost: () => boolean;
    /** The process takes new connections. */
    readonly isReady: () => boolean;
    /** The process is ending: callers should open their next connection elsewhere. */
    readonly isEnding: () => boolean;
    /** Counts an answered request. */
    readonly count: (kind: string, outcome: string, duration: number) => void;
}

interface Reply {
    readonly status: number;
    readonly body: string;
    /** Seconds after which a refused caller should come again. */
    readonly retryAfter?: number;
    readonly reason?: string;
}

interface Question {
    readonly id: string;
    readonly route: platform.operatorRecords.Route;
    readonly message: http.IncomingMessage;
    /** On the steady clock, ms: when the caller stops waiting. */
    readonly deadline: number;
    readonly maxBodyBytes: number;
}

/** Time in ms kept back from the caller's wait for the answer's way. */
const answerMargin = 60;
/** Seconds after which the store is likely to be back, or another entry instance to be chosen. */
const outageRetryAfter = 1;

const notFound: Reply = { status: 404, body: "", reason: "no such queue" };
const unconfigured: Reply = { status: 503, body: "", retryAfter: 1, reason: "no configuration yet" };
const storeLost: Reply = { status: 503, body: "", retryAfter: outageRetryAfter, reason: "the store is out of reach" };
const unknownOutcome: Reply = { status: 504, body: "", reason: "the store gave no answer" };
const gone: Reply = { status: 410, body: "", reason: "no such job" };
const accepted: Reply = { status: 200, body: "{}" };

type Handler = (port: CallerPort, question: Question) => Promise<Reply>;

const handlers: Readonly<Record<string, Handler>> = {
    POST: (port, question) => port.submit(question),
    GET: (port, question) => port.tell(question),
    DELETE: (port, question) => port.cancel(question),
};

export class CallerPort {
    #routes: { readonly version: number; readonly table: routeTable.RouteTable; } | undefined;

    constructor(private readonly parts: IntakeParts) {}

    createApp(): polka.Polka {
        return polka.default({
            onNoMatch: (message, response) => {
                void this.#answer(message as unknown as http.IncomingMessage, response);
            },
        }).get(platform.callerBodies.readinessPath, (_message, response) => {
            response.statusCode = this.parts.isReady() ? 200 : 503;
            response.end();
        });
    }

    async #answer(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const began = this.parts.steady();
        let reply: Reply;
        try {
            reply = await this.#route(message, began);
        }
        catch (error) {
            this.parts.log.warn("request-broken", { path: message.url, error: String(error) });
            reply = { status: 500, body: "", reason: "internal error" };
        }
        if (!message.complete) {
            message.resume();
        }
        response.statusCode = reply.status;
        if (reply.retryAfter !== undefined) {
            response.setHeader("retry-after", String(reply.retryAfter));
        }
        if (this.parts.isEnding()) {
            response.setHeader("connection", "close");
        }
        if (reply.body !== "") {
            response.setHeader("content-type", "application/json");
        }
        response.end(reply.body);
        const duration = this.parts.steady() - began;
        this.parts.count(message.method ?? "", String(reply.status), duration);
        this.#log(message, reply, duration);
    }

    #log(message: http.IncomingMessage, reply: Reply, duration: number): void {
        if (message.method === "GET" && reply.status === 200) {
            return; // Changes nothing; counted only.
        }
        this.parts.log.info("request-answered", {
            method: message.method,
            path: message.url,
            status: reply.status,
            reason: reply.reason,
            configuration: this.#routes?.version,
            duration: Math.round(duration),
        });
    }

    async #route(message: http.IncomingMessage, now: number): Promise<Reply> {
        const configuration = this.parts.configuration();
        if (configuration === undefined) {
            return unconfigured;
        }
        if (this.#routes?.version !== configuration.version) {
            this.#routes = {
                version: configuration.version,
                table: new routeTable.RouteTable(configuration.routes),
            };
        }
        const path = (message.url ?? "/").split("?", 1)[0]!;
        const match = this.#routes.table.find(message.headers.host ?? "", path);
        if (match === undefined) {
            return notFound;
        }
        if (match.rest === "" && message.method === "GET") {
            return {
                status: 200,
                body: platform.callerBodies.encodePending(this.parts.jobs.countPending(match.route.name)),
            };
        }
        const handler = handlers[message.method ?? ""];
        if (handler === undefined) {
            return { status: 405, body: "", reason: "unknown method" };
        }
        if (!platform.callerBodies.isJobId(match.rest)) {
            return { status: 400, body: "", reason: "malformed job id" };
        }
        const wait = Number(message.headers[platform.callerBodies.waitHeader] ?? match.route.timeout);
        return handler(this, {
            id: match.rest,
            route: match.route,
            message,
            deadline: now + (Number.isFinite(wait) ? wait : match.route.timeout) - answerMargin,
            maxBodyBytes: configuration.maxBodyBytes,
        });
    }

    /** Accepts a job once it is stored. */
    async submit(question: Question): Promise<Reply> {
        const body = await requestBody.readBody(question.message, question.maxBodyBytes);
        if (body === requestBody.BodyFault.tooLarge) {
            return { status: 413, body: "", reason: "the body is too large" };
        }
        if (body === requestBody.BodyFault.cut) {
            throw new Error("the body was cut");
        }
        const submission = platform.callerBodies.decodeSubmission(body);
        if (typeof submission === "string") {
            return { status: 400, body: "", reason: submission };
        }
        if (this.parts.jobs.entries.get(question.id)?.job !== undefined) {
            return accepted;
        }
        if (this.parts.isStoreLost()) {
            return storeLost;
        }
        const job: jobState.Job = {
            id: question.id,
            queue: question.route.name,
            ...submission,
            submittedAt: this.parts.wall(),
        };
        return this.#keep(jobState.encodeJob(job), question);
    }

    async cancel(question: Question): Promise<Reply> {
        const entry = await this.#find(question);
        if (entry === "unknown") {
            return storeLost;
        }
        if (entry === undefined) {
            return gone;
        }
        const status = this.parts.jobs.findStatus(question.id);
        if (entry.cancelledAt !== undefined || (status !== undefined && jobState.isSettled(status))) {
            return accepted;
        }
        if (this.parts.isStoreLost()) {
            return storeLost;
        }
        return this.#keep(jobState.encodeCancellation(question.id, this.parts.wall()), question);
    }

    async tell(question: Question): Promise<Reply> {
        const entry = await this.#find(question);
        if (entry === "unknown") {
            return storeLost;
        }
        const status = entry === undefined ? undefined : this.parts.jobs.findStatus(question.id);
        return status === undefined ? gone : { status: 200, body: platform.callerBodies.encodeStatus(status) };
    }

    async #keep(record: jobState.KeyedRecord, question: Question): Promise<Reply> {
        const outcomes: Readonly<Record<submissionKeeper.Stored, Reply>> = {
            stored: accepted,
            refused: storeLost,
            unknown: unknownOutcome,
        };
        return outcomes[await this.parts.keeper.keep(record, question.deadline)];
    }

    /** Finds a job of the queue. One that isn't known here may have been accepted elsewhere a moment ago. */
    async #find(question: Question): Promise<jobState.JobEntry | undefined | "unknown"> {
        let entry = this.parts.jobs.entries.get(question.id);
        if (entry?.job === undefined) {
            if (!await this.parts.refreshJobs()) {
                return "unknown";
            }
            entry = this.parts.jobs.entries.get(question.id);
        }
        return entry?.job?.queue === question.route.name ? entry : undefined;
    }
}
