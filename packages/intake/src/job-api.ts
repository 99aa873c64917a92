/**
 * HTTP API for callers: submits, queries and cancels jobs under the paths of their queues.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import * as scheduling from "@catkinwharf/scheduling";
import type * as http from "node:http";
import * as timers from "node:timers/promises";
import * as polka from "polka";
import * as authentication from "./authentication.js";
import * as cancellationRoom from "./cancellation-room.js";
import * as jobLimits from "./job-limits.js";
import * as jobResponses from "./job-responses.js";
import * as limitedWait from "./limited-wait.js";
import * as loadShedder from "./load-shedder.js";
import * as questionAnswerer from "./question-answerer.js";
import * as routeTable from "./route-table.js";
import * as submissionWriter from "./submission-writer.js";

export interface JobApiOptions extends jobLimits.JobLimits {
    readonly jobs: jobState.JobTable;
    readonly writer: submissionWriter.SubmissionWriter;
    readonly log: eventLog.EventLog;
    /** Monotonic time in ms. */
    readonly monotonicNow: () => number;
    /** Unix time in ms. */
    readonly now: () => number;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Reads all submissions stored so far; false when the store could not be read. */
    readonly refreshJobs: () => Promise<boolean>;
    /** Reads the progress of all jobs stored so far; false when the store could not be read. */
    readonly refreshProgress: () => Promise<boolean>;
    /** Whether this process has read the newest submissions and all progress since its start. */
    readonly hasRead: () => boolean;
    /**
     * Asks peers what this process can't tell yet; `undefined` if none of them can.
     *
     * @param deadline monotonic time in ms
     */
    readonly askPeers: (question: jobState.Question, deadline: number) => Promise<PeerAnswer | undefined>;
    /** Reads the newest configuration; false when the store could not be read. */
    readonly refreshConfiguration: () => Promise<boolean>;
    /** Age in ms up to which a process's view of the configuration may decide on a request. */
    readonly maxConfigurationAge: number;
    /** The deployment has organisations: requests need a key unless their route is public. */
    readonly requiresKeys: boolean;
    /**
     * Age in ms up to which the configuration may decide on a key; `undefined` if a process that can't read a newer one
     * goes on with the keys that it knows.
     */
    readonly maxKeyAge: number | undefined;
    /** Whether the store counts as unavailable, by the last calls; submissions are then refused at once. */
    readonly isStoreUnavailable: () => boolean;
    /** Ages in ms of what this process has read of the jobs, their progress and the configuration. */
    readonly measureDataAge: () => {
        readonly submissionsAge: number;
        readonly progressAge: number;
        readonly configurationAge: number;
    };
    /** Whether the process is ready to serve callers; reported to the readiness check. */
    readonly isReady: () => boolean;
    /** Whether the process is shutting down; callers should then connect to another entry instance. */
    readonly isShuttingDown: () => boolean;
    /** Ms for which a task that becomes ready now waits because the coordinator can't start more at a time. */
    readonly startDelay: () => number;
    /** Decides which jobs are refused because capacity is short. */
    readonly shedder: Pick<loadShedder.LoadShedder, "findRefusal">;
    /** Numbers from 0 to 1. */
    readonly random: () => number;
    /** Called with a job whose submission isn't known to be stored; its caller may send it again. */
    readonly onUnstored: (job: jobState.Job) => void;
    /** Reads a body up to a size; `requestBody.readBody` unless given. */
    readonly readBody?: requestBody.WatchedReader;
    /** Counts a request in the metrics; `duration` is in ms. */
    readonly count: (method: string, status: string, duration: number) => void;
    /** Counts a request that wasn't carried out in the metrics; `reason` is one of a few texts. */
    readonly countRefusal: (reason: string, organisation: string | undefined) => void;
}

/** What a peer said. */
export interface PeerAnswer {
    /** Name of its process. */
    readonly node: string;
    readonly answer: jobState.KnownAnswer;
}

/** When a request arrived, and what its response has waited for since. */
interface Arrival {
    /** On the monotonic clock. */
    readonly startedAt: number;
    /** Ms by what was waited for; logged only. */
    readonly waits: Partial<Record<Wait, number>>;
}

const Wait = {
    configuration: "configuration",
    /** Reads of the submissions, and of the progress where it matters. */
    jobs: "jobs",
    /** Peers that were asked, or the reads if they ended first. */
    peers: "peers",
    /** The record of an accepted job, until it was read back. */
    owner: "owner",
    append: "append",
} as const;
type Wait = (typeof Wait)[keyof typeof Wait];

interface JobRequest {
    readonly id: string;
    readonly route: platform.operatorRecords.Route;
    /** Name of the caller's organisation; `undefined` if the request needs no key. */
    readonly organisation: string | undefined;
    /** The deployment has organisations, so a job of another one may have the same ID. */
    readonly mayConflict: boolean;
    /** Version of the configuration that has the route. */
    readonly version: number;
    readonly message: http.IncomingMessage;
    readonly arrival: Arrival;
    /** Monotonic time in ms by which the response has to be sent. */
    readonly deadline: number;
    readonly maxBodyBytes: number;
}

/** Time in ms reserved, out of the caller's timeout, for the response to reach the caller. */
const responseMargin = 60;
/** Time in ms for which a caller that names no timeout waits, before its route is known. */
const defaultTimeout = 3000;
/**
 * Share of the caller's time limit after which a question that couldn't be answered is refused, so that the caller can still
 * ask another entry instance.
 */
const answerShare = 2 / 3;
/** The same while this process is still reading and no peer can tell: one that started with it may have read more soon. */
const readingShare = 1 / 3;
/** Time in ms after which peers that couldn't tell are asked again. */
const askInterval = 150;
/** Time in ms for which a question waits for this process's own reads before peers are asked as well. */
const ownReadTime = 300;
/** Duration in ms from which on a successful read is logged. */
const slowAnswer = 500;

/** Share of a route's latency allowance for which a submission may be held before it is refused for lack of capacity. */
const maxRefusalShare = 0.25;

/**
 * Age in ms up to which the configuration decides that a key is unknown. Bounds the reads that requests with wrong keys
 * cause, and is short compared with the time in which a new key has to be in force.
 */
const maxUnknownKeyAge = 500;

/**
 * Longest time in ms for which an accepted submission waits until its record has been read back, where other
 * organisations may submit a job with the same ID. Processes read new records at least every 150 ms, or are behind.
 */
const maxReadBackTime = 300;
/** Characters of a path in a log line; the head of a request may have 16,384 bytes. */
const maxLoggedPath = 256;

/** Statuses whose reasons are few, so that they can be counted; the reason of a 400 may quote the request. */
const refusalStatuses: ReadonlySet<number> = new Set([401, 413, 429, 503, 504]);

/** Monotonic time in ms by which the response has to be sent; `timeout` in ms holds if the caller names none. */
function computeDeadline(message: http.IncomingMessage, startedAt: number, timeout: number): number {
    const named = Number(message.headers[platform.callerBodies.timeoutHeader] ?? timeout);
    return startedAt + (Number.isFinite(named) ? named : timeout) - responseMargin;
}

/** Selects what a job's record keeps of the route of its queue. */
export function selectTerms(
    { service, priority, maxAttempts, slackFactor, latencyAllowance, advice }: platform.operatorRecords.Route,
    version: number,
): jobState.RouteTerms {
    return { version, service, priority, maxAttempts, slackFactor, latencyAllowance, advice };
}

/** Monotonic time in ms at which a share of the time has passed in which a request has to be responded to. */
function computeTimeOf(share: number, { startedAt }: Arrival, deadline: number): number {
    return startedAt + (deadline - startedAt) * share;
}

/**
 * Whether a submission repeats that of the known job, rather than that it uses the ID of another organisation's. A job of
 * the same queue without an organisation was stored before the queue required keys.
 */
function isRepetition(known: jobState.Job, { organisation, route }: JobRequest): boolean {
    return known.organisation === organisation
        || (known.organisation === undefined && known.queue === route.name);
}

/** Which jobs a cancellation by the request holds for. */
function findScope({ id, organisation, route }: JobRequest): jobState.CancellationScope {
    return { id, queue: route.name, organisation };
}

/** Names who sent the request: its organisation, or its queue and its connection. */
function listCallers({ organisation, route, message: { socket } }: JobRequest): string[] {
    return organisation === undefined
        ? [`queue ${route.name}`, `connection ${socket.remoteAddress} ${socket.remotePort}`]
        : [`organisation ${organisation}`];
}

/** Describes a path for the log: a caller may have put its key into any part that isn't known, or into the query. */
function describePath(match: routeTable.RouteMatch | undefined): string | undefined {
    if (match === undefined) {
        return undefined;
    }
    const { route, rest } = match;
    return route.pathPrefix + (rest === "" || platform.callerBodies.isJobId(rest) ? rest : "(no job ID)");
}

/** From what a question is answered: this process's own view, or what a peer said. */
type Source = "own" | PeerAnswer;

/** `response` is what the caller gets if there is no status. */
interface FoundStatus {
    readonly status?: jobState.JobStatus | undefined;
    /** Peer that gave it; `undefined` if this process did. */
    readonly answeredBy?: string | undefined;
    readonly response: jobResponses.JobResponse;
}

type Handler = (api: JobApi, request: JobRequest) => Promise<jobResponses.JobResponse>;

const handlers: Readonly<Record<string, Handler>> = {
    POST: (api, request) => api.submit(request),
    GET: (api, request) => api.getStatus(request),
    DELETE: (api, request) => api.cancel(request),
};

type Admission =
    | {
        readonly admitted: true;
        readonly match: routeTable.RouteMatch;
        /** Name of the caller's organisation; `undefined` if the request needs no key. */
        readonly organisation: string | undefined;
        readonly configuration: platform.operatorRecords.Configuration;
    }
    | { readonly admitted: false; readonly response: jobResponses.JobResponse; };

export class JobApi {
    readonly #authenticator: authentication.Authenticator;
    readonly #cancellationRoom = new cancellationRoom.CancellationRoom();
    #routes: { readonly version: number; readonly table: routeTable.RouteTable; } | undefined;

    constructor(private readonly options: JobApiOptions) {
        this.#authenticator = new authentication.Authenticator(options);
    }

    createApp(): polka.Polka {
        return polka.default({
            // The paths of queues come from the configuration, so all requests for jobs are handled here.
            onNoMatch: (message, response) => {
                void this.#handle(message as unknown as http.IncomingMessage, response);
            },
        }).get(platform.callerBodies.readinessPath, (_message, response) => {
            response.statusCode = this.options.isReady() ? 200 : 503;
            response.end();
        });
    }

    async #handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const arrival: Arrival = { startedAt: this.options.monotonicNow(), waits: {} };
        let result: jobResponses.JobResponse;
        try {
            result = await this.#respond(message, arrival);
        }
        catch (error) {
            this.options.log.warn("request-broken", { path: this.#describePath(message), error: String(error) });
            result = { status: 500, body: "", reason: "internal error" };
        }
        if (!message.complete) {
            message.resume();
        }
        response.statusCode = result.status;
        if (result.retryAfter !== undefined) {
            response.setHeader("retry-after", String(result.retryAfter));
        }
        if (result.scheme !== undefined) {
            response.setHeader("www-authenticate", result.scheme);
        }
        // An open connection stays with its process; a new one leads to another process.
        if (this.options.isShuttingDown() || (result.status === 503 && !this.options.hasRead())) {
            response.setHeader("connection", "close");
        }
        if (result.body !== "") {
            response.setHeader("content-type", "application/json");
        }
        response.end(result.body);
        const duration = this.options.monotonicNow() - arrival.startedAt;
        this.options.count(message.method ?? "", String(result.status), duration);
        if (refusalStatuses.has(result.status)) {
            this.options.countRefusal(result.reason ?? "", result.organisation);
        }
        this.#log(message, result, arrival.waits, duration);
    }

    #log(
        message: http.IncomingMessage,
        result: jobResponses.JobResponse,
        waits: Arrival["waits"],
        duration: number,
    ): void {
        const isOrdinary = result.answeredBy === undefined && duration < slowAnswer;
        if (message.method === "GET" && result.status === 200 && isOrdinary) {
            return; // Successful reads change nothing, so they are only counted.
        }
        this.options.log.info("request-answered", {
            method: message.method,
            path: this.#describePath(message),
            status: result.status,
            reason: result.reason,
            organisation: result.organisation,
            retryAfter: result.retryAfter,
            configuration: this.#routes?.version,
            answeredBy: result.answeredBy,
            waitedFor: Object.keys(waits).length === 0 ? undefined : waits,
            duration: Math.round(duration),
        });
    }

    /** Describes the request's path for the log, where requests carry keys without what may contain one. */
    #describePath(message: http.IncomingMessage): string | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined || this.#authenticator.hasOrganisations(configuration)) {
            return configuration === undefined ? undefined : describePath(this.#findRoute(message, configuration));
        }
        return message.url?.slice(0, maxLoggedPath);
    }

    /** Returns the response to a request: the pending count of a queue, or what the handler of the method returns. */
    async #respond(message: http.IncomingMessage, arrival: Arrival): Promise<jobResponses.JobResponse> {
        const admission = await this.#admit(message, arrival);
        if (!admission.admitted) {
            return admission.response;
        }
        const { match, organisation, configuration } = admission;
        const deadline = computeDeadline(message, arrival.startedAt, match.route.timeout);
        // The name of a route is that of its queue.
        if (match.rest === "" && message.method === "GET") {
            return this.#countPending(match.route.name, arrival, deadline);
        }
        const handler = handlers[message.method ?? ""];
        if (handler === undefined) {
            return { status: 405, body: "", reason: "unknown method" };
        }
        if (!platform.callerBodies.isJobId(match.rest)) {
            return { status: 400, body: "", reason: "malformed job id" };
        }
        return handler(this, {
            id: match.rest,
            route: match.route,
            organisation,
            mayConflict: this.#authenticator.hasOrganisations(configuration),
            version: configuration.version,
            message,
            arrival,
            deadline,
            maxBodyBytes: configuration.maxBodyBytes,
        });
    }

    /** Finds the queue of a request, and the organisation that sent it if the queue isn't public. */
    async #admit(message: http.IncomingMessage, arrival: Arrival): Promise<Admission> {
        const refuse = (response: jobResponses.JobResponse) => ({ admitted: false as const, response });
        if (!await this.#refreshConfiguration(message, arrival, this.options.maxConfigurationAge)) {
            return refuse(jobResponses.behindStore);
        }
        let configuration = this.options.configuration();
        if (configuration === undefined) {
            return refuse(jobResponses.noConfiguration);
        }
        let match = this.#findRoute(message, configuration);
        if (match === undefined) {
            return refuse(jobResponses.queueNotFound);
        }
        let caller = this.#authenticator.authenticate(message.headers.authorization, match.route, configuration);
        if (!caller.accepted && caller.fault === authentication.KeyFault.unknown) {
            // A configuration with the key may just have been published.
            if (
                this.options.isStoreUnavailable()
                || !await this.#refreshConfiguration(message, arrival, maxUnknownKeyAge)
            ) {
                return refuse(jobResponses.behindStore);
            }
            configuration = this.options.configuration()!;
            match = this.#findRoute(message, configuration);
            if (match === undefined) {
                return refuse(jobResponses.queueNotFound);
            }
            caller = this.#authenticator.authenticate(message.headers.authorization, match.route, configuration);
        }
        if (!caller.accepted) {
            return refuse(jobResponses.createKeyRefusal(caller.fault));
        }
        if (this.#areKeysOutdated(match.route, configuration)) {
            return refuse(jobResponses.behindStore);
        }
        return { admitted: true, match, organisation: caller.organisation, configuration };
    }

    /** Finds the queue of the request's path, by the routes of the configuration. */
    #findRoute(
        message: http.IncomingMessage,
        { version, routes }: platform.operatorRecords.Configuration,
    ): routeTable.RouteMatch | undefined {
        if (this.#routes?.version !== version) {
            this.#routes = { version, table: new routeTable.RouteTable(routes) };
        }
        const path = (message.url ?? "/").split("?", 1)[0]!;
        return this.#routes.table.find(message.headers.host ?? "", path);
    }

    /** Whether the configuration is too old to accept a key by it, where the deployment bounds its age. */
    #areKeysOutdated(
        route: platform.operatorRecords.Route,
        configuration: platform.operatorRecords.Configuration,
    ): boolean {
        const { maxKeyAge, measureDataAge } = this.options;
        return maxKeyAge !== undefined && this.#authenticator.needsKey(route, configuration)
            && measureDataAge().configurationAge > maxKeyAge;
    }

    /**
     * Reads the newest configuration if that of this process is older than `maxAge` ms; while the store is unavailable to
     * it, the last known one has to do.
     *
     * @returns whether the configuration may decide on the request
     */
    async #refreshConfiguration(message: http.IncomingMessage, arrival: Arrival, maxAge: number): Promise<boolean> {
        const { configuration, measureDataAge, isStoreUnavailable } = this.options;
        const isFresh = configuration() === undefined || measureDataAge().configurationAge <= maxAge;
        if (isFresh || isStoreUnavailable()) {
            return true;
        }
        const deadline = computeDeadline(message, arrival.startedAt, defaultTimeout);
        const until = message.method === "POST" ? deadline : computeTimeOf(answerShare, arrival, deadline);
        const refreshed = this.options.refreshConfiguration();
        return await this.#waitUntil(until, refreshed, arrival, Wait.configuration) === true;
    }

    /** Counts from a view that is fresh enough, which takes reading the store or asking peers while this process is behind. */
    async #countPending(queue: string, arrival: Arrival, deadline: number): Promise<jobResponses.JobResponse> {
        const { submissionsAge, progressAge } = this.options.measureDataAge();
        if (Math.max(submissionsAge, progressAge) > questionAnswerer.maxCountAge) {
            if (this.options.isStoreUnavailable()) {
                return jobResponses.storeUnavailable;
            }
            const reads = Promise.all([this.options.refreshJobs(), this.options.refreshProgress()]);
            const read = reads.then(results => results.every(Boolean));
            const source = await this.#findSource({ kind: "count", queue }, read, arrival, deadline);
            if (source === undefined) {
                return this.#describeDelay();
            }
            if (source !== "own" && source.answer.kind === "count") {
                const body = platform.callerBodies.encodePendingJobs(source.answer.pending);
                return { status: 200, body, answeredBy: source.node };
            }
        }
        const counts = this.options.jobs.countUnfinished(queue);
        this.options.log.info("pending-counted", { queue, ...counts, ...this.options.measureDataAge() });
        return { status: 200, body: platform.callerBodies.encodePendingJobs(counts.pending) };
    }

    /** Submits a job; it is accepted only once the store has confirmed it. */
    async submit(request: JobRequest): Promise<jobResponses.JobResponse> {
        const readBody = this.options.readBody ?? requestBody.readBody;
        const body = await readBody(request.message, request.maxBodyBytes);
        if (typeof body === "string") {
            // An earlier attempt may have been accepted; then it isn't true that the job won't run.
            const earlier = this.options.jobs.entries.get(request.id)?.job;
            return body !== requestBody.BodyFault.tooLarge && earlier !== undefined && isRepetition(earlier, request)
                ? jobResponses.accepted
                : jobResponses.bodyRefusals[body];
        }
        if (request.organisation !== undefined) {
            // The body may have taken long to arrive, and the key may have been revoked meanwhile.
            const admission = await this.#admit(request.message, request.arrival);
            if (!admission.admitted) {
                return admission.response;
            }
        }
        const submission = platform.callerBodies.decodeSubmission(body);
        if (typeof submission === "string") {
            return { status: 400, body: "", reason: submission };
        }
        const known = this.options.jobs.entries.get(request.id)?.job;
        if (known !== undefined) {
            return isRepetition(known, request) ? jobResponses.accepted : jobResponses.idUnusable;
        }
        const job: jobState.Job = {
            id: request.id,
            queue: request.route.name,
            route: selectTerms(request.route, request.version),
            organisation: request.organisation,
            ...submission,
            submittedAt: this.options.now(),
        };
        const record = jobState.encodeJob(job);
        const refused = this.#refuseCancelled(request) ?? jobLimits.refuseOversized(job, record, this.options)
            ?? await this.#refuseOverload(job, request);
        if (refused !== undefined) {
            return refused;
        }
        const response = this.options.isStoreUnavailable()
            ? jobResponses.storeUnavailable
            : await this.#write(
                record,
                request,
                !request.mayConflict,
                () => this.#findCancellation(request) !== undefined,
            );
        if (response !== jobResponses.accepted) {
            this.options.onUnstored(job);
            return response;
        }
        return request.mayConflict ? this.#confirmOwner(request) : jobResponses.accepted;
    }

    /**
     * Checks that no job of another organisation with the same ID was stored first: of several records of a job the first
     * one counts. A process that starts later reads only the newest one, so the first is stored again. A process that is
     * too far behind to tell accepts the job: refusing it wouldn't keep it from running.
     */
    async #confirmOwner(request: JobRequest): Promise<jobResponses.JobResponse> {
        const { jobs, monotonicNow } = this.options;
        const until = Math.min(request.deadline, monotonicNow() + maxReadBackTime);
        const wait = new AbortController();
        const read = jobs.waitForJob(request.id, wait.signal);
        const owner = await this.#waitUntil(until, read, request.arrival, Wait.owner);
        wait.abort(); // A record that is never read would otherwise keep the wait in memory.
        if (owner === undefined || isRepetition(owner, request)) {
            return jobResponses.accepted;
        }
        this.options.log.warn("job-id-conflict", { job: request.id, queue: owner.queue });
        const finalStatus = jobs.entries.get(owner.id)?.finalStatus;
        const record = finalStatus === undefined
            ? jobState.encodeJob(owner)
            : jobState.encodeEndedJob(owner, finalStatus);
        await this.#write(record, request);
        return jobResponses.idUnusable;
    }

    /** The response to a job that can't be served in time; `undefined` if the job may be accepted. */
    async #refuseOverload(job: jobState.Job, request: JobRequest): Promise<jobResponses.JobResponse | undefined> {
        const startDelay = this.options.startDelay();
        if (!scheduling.canMeetObjective(job, request.route, startDelay)) {
            const refusal = { reason: loadShedder.RefusalReason.coordinatorBusy, wait: startDelay };
            return await this.#refuseUnlessAccepted(refusal, request, request.deadline) ?? jobResponses.unknownOutcome;
        }
        const refusal = this.options.shedder.findRefusal(job, request.route);
        if (refusal === undefined || this.options.isStoreUnavailable()) {
            return undefined;
        }
        // A late refusal serves the caller worse than a job that waits, so it is accepted then.
        const hold = maxRefusalShare * request.route.latencyAllowance;
        const deadline = Math.min(request.deadline, this.options.monotonicNow() + hold);
        return this.#refuseUnlessAccepted(refusal, request, deadline);
    }

    /**
     * Refuses a job unless an earlier attempt has been accepted elsewhere just now, as it wouldn't be true then that the
     * job won't run. `undefined` if that can't be determined by the deadline.
     */
    async #refuseUnlessAccepted(
        refusal: loadShedder.Refusal,
        request: JobRequest,
        deadline: number,
    ): Promise<jobResponses.JobResponse | undefined> {
        if (await this.#waitUntil(deadline, this.options.refreshJobs(), request.arrival, Wait.jobs) !== true) {
            return undefined;
        }
        const known = this.options.jobs.entries.get(request.id)?.job;
        if (known !== undefined) {
            return isRepetition(known, request) ? jobResponses.accepted : jobResponses.idUnusable;
        }
        return jobResponses.createOverloadRefusal(refusal, request.organisation, this.options.random());
    }

    async cancel(request: JobRequest): Promise<jobResponses.JobResponse> {
        const { status, answeredBy, response } = await this.#findStatus(request);
        if (status === undefined) {
            // Also if another organisation's job has the ID: neither the answer nor its time may tell.
            const isUnknown = response.status === jobResponses.jobNotFound.status;
            return isUnknown ? this.#cancelInAdvance(request, response) : response;
        }
        if (jobState.isSettled(status)) {
            return { ...jobResponses.accepted, answeredBy };
        }
        if (this.options.isStoreUnavailable()) {
            return jobResponses.storeUnavailable;
        }
        const written = await this.#write(jobState.encodeCancellation(request.id, this.options.now()), request);
        return { ...written, answeredBy };
    }

    /** Cancels a job that isn't stored, and may be: an append of its submission that got no answer may be carried out late. */
    async #cancelInAdvance(
        request: JobRequest,
        notFound: jobResponses.JobResponse,
    ): Promise<jobResponses.JobResponse> {
        if (this.options.isStoreUnavailable()) {
            return jobResponses.storeUnavailable;
        }
        const { jobs, log, monotonicNow, now } = this.options;
        const scope = findScope(request);
        const wait = this.#cancellationRoom.take(
            listCallers(request),
            jobState.advanceCancellationTime,
            monotonicNow(),
            jobs.advanceCancellations.size,
        );
        if (wait > 0) {
            return jobResponses.createCancellationRefusal(wait, request.organisation);
        }
        const record = jobState.encodeAdvanceCancellation({ ...scope, cancelledAt: now() });
        const written = await this.#write(record, request);
        log.info("cancelled-in-advance", {
            job: request.id,
            queue: scope.queue,
            stored: written === jobResponses.accepted,
        });
        return written === jobResponses.accepted ? notFound : written;
    }

    #findCancellation(request: JobRequest): jobState.AdvanceCancellation | undefined {
        return this.options.jobs.advanceCancellations.find(findScope(request));
    }

    /** Refuses a job that was cancelled before it was stored, until the cancellation is removed: it would be cancelled at once. */
    #refuseCancelled(request: JobRequest): jobResponses.JobResponse | undefined {
        const cancellation = this.#findCancellation(request);
        return cancellation === undefined
            ? undefined
            : jobResponses.createCancelledRefusal(this.options.now() - cancellation.cancelledAt);
    }

    async getStatus(request: JobRequest): Promise<jobResponses.JobResponse> {
        const { status, answeredBy, response } = await this.#findStatus(request);
        return status === undefined
            ? response
            : { status: 200, body: platform.callerBodies.encodeStatus(status), answeredBy };
    }

    async #write(
        record: jobState.KeyedRecord,
        request: JobRequest,
        appliesAtOnce = true,
        isCancelled = () => false,
    ): Promise<jobResponses.JobResponse> {
        const outcomes: Readonly<Record<submissionWriter.WriteOutcome, jobResponses.JobResponse>> = {
            stored: jobResponses.accepted,
            refused: jobResponses.storeUnavailable,
            unknown: jobResponses.unknownOutcome,
            cancelled: jobResponses.createCancelledRefusal(0),
        };
        const startedAt = this.options.monotonicNow();
        const { deadline } = request;
        const outcome = await this.options.writer.write({ record, deadline, appliesAtOnce, isCancelled });
        this.#recordWait(request.arrival, Wait.append, startedAt);
        return outcomes[outcome];
    }

    /**
     * Finds the status of a job of the queue. A job that this process knows is answered about at once. One that it doesn't
     * know may just have been accepted by another entry instance, so that the submissions are read or peers are asked.
     */
    async #findStatus(request: JobRequest): Promise<FoundStatus> {
        const { jobs } = this.options;
        const { id, organisation, arrival, deadline, route: { name: queue } } = request;
        const entry = jobs.entries.get(id);
        const isStatusKnown = entry?.finalStatus !== undefined || entry?.storedStatus !== undefined;
        const isKnown = entry?.job !== undefined && (isStatusKnown || this.options.hasRead());
        if (!isKnown) {
            const question = { kind: "status", id, queue, organisation } as const;
            const source = await this.#findSource(question, this.options.refreshJobs(), arrival, deadline);
            if (source !== undefined && source !== "own") {
                return this.#takeAnswer(id, source);
            }
            // Without an answer, what little is known has to do.
            if (source === undefined && jobs.entries.get(id)?.job === undefined) {
                return { response: this.#describeDelay() };
            }
        }
        const job = jobs.entries.get(id)?.job;
        const isShown = job !== undefined && questionAnswerer.isShown(job, { queue, organisation });
        return { status: isShown ? jobs.findStatus(id) : undefined, response: jobResponses.jobNotFound };
    }

    #takeAnswer(id: string, { node, answer }: PeerAnswer): FoundStatus {
        if (answer.kind !== "status") {
            return { answeredBy: node, response: { ...jobResponses.jobNotFound, answeredBy: node } };
        }
        // The peer may not have read a cancellation that this process has stored.
        const isCancelled = this.options.jobs.entries.get(id)?.cancelledAt !== undefined;
        const status = isCancelled && !jobState.isSettled(answer.status) ? jobState.JobStatus.cancelled : answer.status;
        return { status, answeredBy: node, response: jobResponses.jobNotFound };
    }

    /** Why a question can't be answered now. */
    #describeDelay(): jobResponses.JobResponse {
        return this.options.hasRead() ? jobResponses.behindStore : jobResponses.stillReading;
    }

    /**
     * Finds out from what to answer a question: from this process's own view, once `read` has brought it up to date, or
     * from a peer's. A process that has not read what is stored asks peers at once, and doesn't wait long for its own
     * reads when they can't tell.
     *
     * @returns `undefined` if neither can answer early enough
     */
    async #findSource(
        question: jobState.Question,
        read: Promise<boolean>,
        arrival: Arrival,
        deadline: number,
    ): Promise<Source | undefined> {
        const until = computeTimeOf(answerShare, arrival, deadline);
        const isReading = !this.options.hasRead();
        if (!isReading) {
            const ownUntil = Math.min(until, this.options.monotonicNow() + ownReadTime);
            if (await this.#waitUntil(ownUntil, read, arrival, Wait.jobs) === true) {
                return "own";
            }
        }
        const own = read.then((isRead): Source | undefined => isRead && this.options.hasRead() ? "own" : undefined);
        const askAgainUntil = isReading ? computeTimeOf(readingShare, arrival, deadline) : 0;
        const asked: Promise<Source | undefined> = this.#ask(question, until, askAgainUntil);
        const either = Promise.race([
            own.then(source => source ?? asked),
            asked.then(source => source ?? (isReading ? undefined : own)),
        ]);
        return this.#waitUntil(until, either, arrival, Wait.peers);
    }

    /** Asks peers, and again until `askAgainUntil` while they can't tell and this process is still reading. */
    async #ask(
        question: jobState.Question,
        until: number,
        askAgainUntil: number,
    ): Promise<PeerAnswer | undefined> {
        for (;;) {
            const answer = await this.options.askPeers(question, until);
            const asksAgain = !this.options.hasRead() && this.options.monotonicNow() + askInterval < askAgainUntil;
            if (answer !== undefined || !asksAgain) {
                return answer;
            }
            await timers.setTimeout(askInterval);
        }
    }

    /**
     * The result of `work`; `undefined` if it isn't there by the deadline, a monotonic time in ms. The time is added to what
     * the response has waited for.
     */
    async #waitUntil<Result>(
        deadline: number,
        work: Promise<Result>,
        arrival: Arrival,
        wait: Wait,
    ): Promise<Result | undefined> {
        const startedAt = this.options.monotonicNow();
        try {
            return await limitedWait.waitFor(deadline - startedAt, work);
        }
        finally {
            this.#recordWait(arrival, wait, startedAt);
        }
    }

    #recordWait({ waits }: Arrival, wait: Wait, startedAt: number): void {
        waits[wait] = (waits[wait] ?? 0) + Math.round(this.options.monotonicNow() - startedAt);
    }
}
