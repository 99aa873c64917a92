/**
 * HTTP API for callers: submits, queries and cancels jobs under the paths of their queues.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as requestBody from "@catkinwharf/request-body";
import * as scheduling from "@catkinwharf/scheduling";
import * as store from "@catkinwharf/store";
import type * as http from "node:http";
import * as timers from "node:timers/promises";
import * as polka from "polka";
import * as authentication from "./authentication.js";
import * as loadShedder from "./load-shedder.js";
import * as routeTable from "./route-table.js";
import * as submissionWriter from "./submission-writer.js";

export interface JobApiOptions {
    readonly jobs: jobState.JobTable;
    readonly storeLimits: platform.settings.StoreLimits;
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

/** What a response waits for, besides the request's body. */
const WaitCause = {
    configuration: "configuration",
    /** Submissions, or for a pending count the progress of jobs, that this process hadn't read. */
    submissions: "submissions",
    append: "append",
} as const;
type WaitCause = (typeof WaitCause)[keyof typeof WaitCause];

interface JobResponse {
    readonly status: number;
    readonly body: string;
    /** Value of the Retry-After header, in seconds. */
    readonly retryAfter?: number;
    /** Authentication scheme for the WWW-Authenticate header. */
    readonly scheme?: string;
    /** Why the request failed; logged and counted only. */
    readonly reason?: string;
    /** Organisation of a caller that was refused because of its organisation's rate or quota; logged and counted only. */
    readonly organisation?: string | undefined;
}

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
    /** On the monotonic clock. */
    readonly startedAt: number;
    /** Monotonic time in ms by which the response has to be sent. */
    readonly deadline: number;
    readonly maxBodyBytes: number;
}

/** Time in ms reserved, out of the caller's timeout, for the response to reach the caller. */
const responseMargin = 60;
/** Time in ms for which a caller that names no timeout waits, before its route is known. */
const defaultTimeout = 3000;
/**
 * Value of Retry-After in seconds while the store is unavailable. By then, the store has probably recovered; if not,
 * the retry may reach another entry instance.
 */
const outageRetryAfter = 1;

/** Share of a route's latency allowance for which a submission may be held before it is refused for lack of capacity. */
const maxRefusalShare = 0.25;

/**
 * Age in ms up to which this process's view of the jobs is good enough for a queue's pending count, by the platform's
 * protocol.
 */
const maxCountAge = 2000;

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
/** Duration in ms from which on a successful read is logged. */
const slowRead = 500;
/** Characters of a path in a log line; the head of a request may have 16,384 bytes. */
const maxLoggedPath = 256;

const queueNotFound: JobResponse = { status: 404, body: "", reason: "no such queue" };
const noConfiguration: JobResponse = { status: 503, body: "", retryAfter: 1, reason: "no configuration yet" };
const storeUnavailable: JobResponse = {
    status: 503,
    body: "",
    retryAfter: outageRetryAfter,
    reason: "the store is out of reach",
};
const behindStore: JobResponse = {
    status: 503,
    body: "",
    retryAfter: outageRetryAfter,
    reason: "this process is behind the store",
};
/** The job's record would exceed what the store takes, and an append with it would be refused with all others in it. */
const jobTooLarge: JobResponse = { status: 413, body: "", reason: "the job is too large for the store" };
/** Responses to submissions whose body wasn't read completely, so that they weren't accepted. */
const bodyRefusals: Readonly<Record<requestBody.BodyFault | requestBody.WatchFault, JobResponse>> = {
    [requestBody.BodyFault.tooLarge]: { status: 413, body: "", reason: "the body is too large" },
    [requestBody.WatchFault.late]: { status: 408, body: "", reason: "the body took too long" },
    [requestBody.WatchFault.noMemory]: { status: 503, body: "", retryAfter: 1, reason: "no memory for the body" },
    [requestBody.BodyFault.incomplete]: {
        status: 400,
        body: "",
        reason: "the connection closed before the end of the body",
    },
};
const unknownOutcome: JobResponse = { status: 504, body: "", reason: "the store gave no answer" };

/** Statuses whose reasons are few, so that they can be counted; the reason of a 400 may quote the request. */
const refusalStatuses: ReadonlySet<number> = new Set([401, 413, 429, 503, 504]);

function createOverloadRefusal(
    { reason, wait }: loadShedder.Refusal,
    organisation: string | undefined,
    random: number,
): JobResponse {
    const isBusy = reason === loadShedder.RefusalReason.coordinatorBusy;
    const retryAfter = isBusy ? Math.ceil(wait / 1000) : loadShedder.computeRetryAfter(wait, random);
    return { status: 429, body: "", retryAfter, reason, organisation };
}

function createKeyRefusal(fault: authentication.KeyFault): JobResponse {
    return {
        status: 401,
        body: platform.callerBodies.encodeError(fault),
        scheme: platform.callerBodies.authenticationScheme,
        reason: fault,
    };
}

/** A job of another organisation has the ID; callers aren't told so. */
const idUnusable: JobResponse = { status: 400, body: "", reason: "the job ID belongs to another organisation" };

/** Status 410, because 404 stands for an unknown queue. */
const jobNotFound: JobResponse = { status: 410, body: "", reason: "no such job" };
const accepted: JobResponse = { status: 200, body: "{}" };

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

/** Whether the caller may know of the job: it belongs to the caller's organisation or to none. */
function isVisible(job: jobState.Job, { organisation }: Pick<JobRequest, "organisation">): boolean {
    return job.organisation === undefined || job.organisation === organisation;
}

/**
 * Whether a submission repeats that of the known job, rather than that it uses the ID of another organisation's. A job of
 * the same queue without an organisation was stored before the queue required keys.
 */
function isRepetition(known: jobState.Job, { organisation, route }: JobRequest): boolean {
    return known.organisation === organisation
        || (known.organisation === undefined && known.queue === route.name);
}

/** Describes a path for the log: a caller may have put its key into any part that isn't known, or into the query. */
function describePath(match: routeTable.RouteMatch | undefined): string | undefined {
    if (match === undefined) {
        return undefined;
    }
    const { route, rest } = match;
    return route.pathPrefix + (rest === "" || platform.callerBodies.isJobId(rest) ? rest : "(no job ID)");
}

type Handler = (api: JobApi, request: JobRequest) => Promise<JobResponse>;

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
    | { readonly admitted: false; readonly response: JobResponse; };

export class JobApi {
    readonly #authenticator: authentication.Authenticator;
    /** Ms for which the response to a request has waited, by cause, for the log. */
    readonly #waits = new WeakMap<http.IncomingMessage, Partial<Record<WaitCause, number>>>();
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
        const startedAt = this.options.monotonicNow();
        let result: JobResponse;
        try {
            result = await this.#respond(message, startedAt);
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
        if (this.options.isShuttingDown()) {
            response.setHeader("connection", "close");
        }
        if (result.body !== "") {
            response.setHeader("content-type", "application/json");
        }
        response.end(result.body);
        const duration = this.options.monotonicNow() - startedAt;
        this.options.count(message.method ?? "", String(result.status), duration);
        if (refusalStatuses.has(result.status)) {
            this.options.countRefusal(result.reason ?? "", result.organisation);
        }
        this.#log(message, result, duration);
    }

    #log(message: http.IncomingMessage, result: JobResponse, duration: number): void {
        if (message.method === "GET" && result.status === 200 && duration < slowRead) {
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
            duration: Math.round(duration),
            waitedFor: this.#waits.get(message),
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
    async #respond(message: http.IncomingMessage, startedAt: number): Promise<JobResponse> {
        const admission = await this.#admit(message, startedAt);
        if (!admission.admitted) {
            return admission.response;
        }
        const { match, organisation, configuration } = admission;
        const deadline = computeDeadline(message, startedAt, match.route.timeout);
        // The name of a route is that of its queue.
        if (match.rest === "" && message.method === "GET") {
            return this.#countPending(match.route.name, message, deadline);
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
            startedAt,
            deadline,
            maxBodyBytes: configuration.maxBodyBytes,
        });
    }

    /** Finds the queue of a request, and the organisation that sent it if the queue isn't public. */
    async #admit(message: http.IncomingMessage, startedAt: number): Promise<Admission> {
        const refuse = (response: JobResponse) => ({ admitted: false as const, response });
        if (!await this.#refreshConfiguration(message, startedAt, this.options.maxConfigurationAge)) {
            return refuse(behindStore);
        }
        let configuration = this.options.configuration();
        if (configuration === undefined) {
            return refuse(noConfiguration);
        }
        let match = this.#findRoute(message, configuration);
        if (match === undefined) {
            return refuse(queueNotFound);
        }
        let caller = this.#authenticator.authenticate(message.headers.authorization, match.route, configuration);
        if (!caller.accepted && caller.fault === authentication.KeyFault.unknown) {
            // A configuration with the key may just have been published.
            if (
                this.options.isStoreUnavailable()
                || !await this.#refreshConfiguration(message, startedAt, maxUnknownKeyAge)
            ) {
                return refuse(behindStore);
            }
            configuration = this.options.configuration()!;
            match = this.#findRoute(message, configuration);
            if (match === undefined) {
                return refuse(queueNotFound);
            }
            caller = this.#authenticator.authenticate(message.headers.authorization, match.route, configuration);
        }
        if (!caller.accepted) {
            return refuse(createKeyRefusal(caller.fault));
        }
        if (this.#areKeysOutdated(match.route, configuration)) {
            return refuse(behindStore);
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
    async #refreshConfiguration(message: http.IncomingMessage, startedAt: number, maxAge: number): Promise<boolean> {
        const { configuration, measureDataAge, isStoreUnavailable } = this.options;
        const isFresh = configuration() === undefined || measureDataAge().configurationAge <= maxAge;
        if (isFresh || isStoreUnavailable()) {
            return true;
        }
        const deadline = computeDeadline(message, startedAt, defaultTimeout);
        const read = this.options.refreshConfiguration();
        return await this.#waitFor(message, WaitCause.configuration, deadline, read) === true;
    }

    /** Counts from a view that is fresh enough, which takes reading the store while this process is behind. */
    async #countPending(queue: string, message: http.IncomingMessage, deadline: number): Promise<JobResponse> {
        const { submissionsAge, progressAge } = this.options.measureDataAge();
        if (Math.max(submissionsAge, progressAge) > maxCountAge) {
            if (this.options.isStoreUnavailable()) {
                return storeUnavailable;
            }
            const reads = Promise.all([this.options.refreshJobs(), this.options.refreshProgress()]);
            if ((await this.#waitFor(message, WaitCause.submissions, deadline, reads))?.every(Boolean) !== true) {
                return behindStore;
            }
        }
        const counts = this.options.jobs.countUnfinished(queue);
        this.options.log.info("pending-counted", { queue, ...counts, ...this.options.measureDataAge() });
        return { status: 200, body: platform.callerBodies.encodePendingJobs(counts.pending) };
    }

    /** Submits a job; it is accepted only once the store has confirmed it. */
    async submit(request: JobRequest): Promise<JobResponse> {
        const readBody = this.options.readBody ?? requestBody.readBody;
        const body = await readBody(request.message, request.maxBodyBytes);
        if (typeof body === "string") {
            // An earlier attempt may have been accepted; then it isn't true that the job won't run.
            const earlier = this.options.jobs.entries.get(request.id)?.job;
            return body !== requestBody.BodyFault.tooLarge && earlier !== undefined && isRepetition(earlier, request)
                ? accepted
                : bodyRefusals[body];
        }
        if (request.organisation !== undefined) {
            // The body may have taken long to arrive, and the key may have been revoked meanwhile.
            const admission = await this.#admit(request.message, request.startedAt);
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
            return isRepetition(known, request) ? accepted : idUnusable;
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
        if (!store.isStorable(record, this.options.storeLimits)) {
            return jobTooLarge;
        }
        const refused = await this.#refuseOverload(job, request);
        if (refused !== undefined) {
            return refused;
        }
        const response = this.options.isStoreUnavailable()
            ? storeUnavailable
            : await this.#write(record, request, !request.mayConflict);
        if (response !== accepted) {
            this.options.onUnstored(job);
            return response;
        }
        return request.mayConflict ? this.#confirmOwner(request) : accepted;
    }

    /**
     * Checks that no job of another organisation with the same ID was stored first: of several records of a job the first
     * one counts. A process that starts later reads only the newest one, so the first is stored again. A process that is
     * too far behind to tell accepts the job: refusing it wouldn't keep it from running.
     */
    async #confirmOwner(request: JobRequest): Promise<JobResponse> {
        const { jobs, monotonicNow } = this.options;
        const until = Math.min(request.deadline, monotonicNow() + maxReadBackTime);
        const wait = new AbortController();
        const owner = await this.#waitFor(
            request.message,
            WaitCause.submissions,
            until,
            jobs.waitForJob(request.id, wait.signal),
        );
        wait.abort(); // A record that is never read would otherwise keep the wait in memory.
        if (owner === undefined || isRepetition(owner, request)) {
            return accepted;
        }
        this.options.log.warn("job-id-conflict", { job: request.id, queue: owner.queue });
        const finalStatus = jobs.entries.get(owner.id)?.finalStatus;
        const record = finalStatus === undefined
            ? jobState.encodeJob(owner)
            : jobState.encodeEndedJob(owner, finalStatus);
        await this.#write(record, request);
        return idUnusable;
    }

    /** The response to a job that can't be served in time; `undefined` if the job may be accepted. */
    async #refuseOverload(job: jobState.Job, request: JobRequest): Promise<JobResponse | undefined> {
        const startDelay = this.options.startDelay();
        if (!scheduling.canMeetObjective(job, request.route, startDelay)) {
            const refusal = { reason: loadShedder.RefusalReason.coordinatorBusy, wait: startDelay };
            return await this.#refuseUnlessAccepted(refusal, request, request.deadline) ?? unknownOutcome;
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
    ): Promise<JobResponse | undefined> {
        const read = this.options.refreshJobs();
        if (await this.#waitFor(request.message, WaitCause.submissions, deadline, read) !== true) {
            return undefined;
        }
        const known = this.options.jobs.entries.get(request.id)?.job;
        if (known !== undefined) {
            return isRepetition(known, request) ? accepted : idUnusable;
        }
        return createOverloadRefusal(refusal, request.organisation, this.options.random());
    }

    async cancel(request: JobRequest): Promise<JobResponse> {
        const entry = await this.#findEntry(request);
        if (entry === "behind-store") {
            return behindStore;
        }
        if (entry === undefined) {
            return jobNotFound;
        }
        const status = this.options.jobs.findStatus(request.id);
        if (entry.cancelledAt !== undefined || (status !== undefined && jobState.isSettled(status))) {
            return accepted;
        }
        if (this.options.isStoreUnavailable()) {
            return storeUnavailable;
        }
        return this.#write(jobState.encodeCancellation(request.id, this.options.now()), request);
    }

    async getStatus(request: JobRequest): Promise<JobResponse> {
        const entry = await this.#findEntry(request);
        if (entry === "behind-store") {
            return behindStore;
        }
        const status = entry === undefined ? undefined : this.options.jobs.findStatus(request.id);
        return status === undefined ? jobNotFound : { status: 200, body: platform.callerBodies.encodeStatus(status) };
    }

    async #write(record: jobState.KeyedRecord, request: JobRequest, appliesAtOnce = true): Promise<JobResponse> {
        const outcomes: Readonly<Record<submissionWriter.WriteOutcome, JobResponse>> = {
            stored: accepted,
            refused: storeUnavailable,
            unknown: unknownOutcome,
        };
        const startedAt = this.options.monotonicNow();
        const outcome = await this.options.writer.write(record, request.deadline, appliesAtOnce);
        this.#recordWait(request.message, WaitCause.append, startedAt);
        return outcomes[outcome];
    }

    /**
     * Finds a job of the queue. When its submission hasn't been read yet, the submissions are read first, because
     * another entry instance may just have accepted it. An entry without a job holds a cancellation or progress that
     * was read before the submission.
     *
     * @returns "behind-store" when the store could not be read in time
     */
    async #findEntry(request: JobRequest): Promise<jobState.JobEntry | undefined | "behind-store"> {
        let entry = this.options.jobs.entries.get(request.id);
        if (entry?.job === undefined) {
            const read = this.options.refreshJobs();
            if (await this.#waitFor(request.message, WaitCause.submissions, request.deadline, read) !== true) {
                return "behind-store";
            }
            entry = this.options.jobs.entries.get(request.id);
        }
        const isShown = entry?.job?.queue === request.route.name && isVisible(entry.job, request);
        return isShown ? entry : undefined;
    }

    #recordWait(message: http.IncomingMessage, cause: WaitCause, startedAt: number): void {
        const before = this.#waits.get(message);
        const time = Math.round(this.options.monotonicNow() - startedAt);
        this.#waits.set(message, { ...before, [cause]: (before?.[cause] ?? 0) + time });
    }

    /** The result of `work`; `undefined` if it isn't there by the deadline, a monotonic time in ms. */
    async #waitFor<Result>(
        message: http.IncomingMessage,
        cause: WaitCause,
        deadline: number,
        work: Promise<Result>,
    ): Promise<Result | undefined> {
        const startedAt = this.options.monotonicNow();
        const timeout = new AbortController();
        const expired = timers.setTimeout(Math.max(0, deadline - this.options.monotonicNow()), undefined, {
            signal: timeout.signal,
        }).catch(() => undefined);
        try {
            return await Promise.race([work, expired]);
        }
        finally {
            timeout.abort();
            this.#recordWait(message, cause, startedAt);
        }
    }
}
