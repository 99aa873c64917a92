/**
 * Answers operators who ask where a job or a submission would go now. The coordinator answers; other processes pass the
 * request on to it, once. Nothing is changed, and no key is taken or shown.
 */
import type * as dispatch from "@catkinwharf/dispatch";
import * as intake from "@catkinwharf/intake";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as store from "@catkinwharf/store";
import * as types from "@catkinwharf/types";

/** ID of a submission whose path names none; no caller's job has one of this form. */
const previewId = "submission";

export interface ExplanationsOptions extends intake.JobLimits {
    /** The deployment has organisations: requests need a key unless their route is public. */
    readonly requiresKeys: boolean;
    readonly jobs: jobState.JobTable;
    /** Unix time in ms. */
    readonly now: () => number;
    readonly configuration: () => platform.operatorRecords.Configuration | undefined;
    /** Ms for which a task that becomes ready now waits because the coordinator can't start more at a time. */
    readonly startDelay: () => number;
    readonly shedder: Pick<intake.LoadShedder, "findRefusal">;
    /** `undefined` while this process doesn't coordinate, or isn't done taking over. */
    readonly explainer: () => Pick<dispatch.PlacementExplainer, "explainKnown" | "explainSubmission"> | undefined;
    /** Whether this process has been elected. */
    readonly leads: () => boolean;
    /** Whether this process coordinates and the store serves it. */
    readonly isInTouch: () => boolean;
    /** Reads all submissions and configurations stored so far; false when the store could not be read. */
    readonly refresh: () => Promise<boolean>;
    /** Passes the request on to the coordinator; `undefined` if it gives no answer. */
    readonly forward: (encoded: Uint8Array) => Promise<store.RelayResponse | undefined>;
}

/** Requests that are answered at a time at most: each takes the coordinator's time, which callers' jobs need. */
const maxRequests = 4;

type Answer = types.PlacementExplanation | Failure;

class Failure {
    constructor(readonly status: number, readonly error: string) {}
}

type SubmissionRequest = Exclude<types.ExplanationRequest, { readonly job: string; }>;

export class Explanations {
    #requests = 0;

    constructor(private readonly options: ExplanationsOptions) {}

    /** @param forwarded whether a peer has passed the request on */
    async answer(encoded: Uint8Array, forwarded: boolean): Promise<store.RelayResponse> {
        if (this.#requests >= maxRequests) {
            return encode(new Failure(503, "the process is busy with other requests for explanations"));
        }
        this.#requests += 1;
        try {
            return await this.#answer(encoded, forwarded);
        }
        finally {
            this.#requests -= 1;
        }
    }

    async #answer(encoded: Uint8Array, forwarded: boolean): Promise<store.RelayResponse> {
        const request = decodeRequest(encoded);
        if (request === undefined) {
            return encode(new Failure(400, "the request names neither a job nor a queue with a submission"));
        }
        if (!this.options.leads()) {
            const answer = forwarded ? undefined : await this.options.forward(encoded);
            const error = forwarded
                ? "the process that was taken to coordinate doesn't"
                : "this process is out of touch with the coordinator";
            return answer ?? encode(new Failure(503, error));
        }
        // What the coordinator knows may have been overtaken by another one's decisions once it has lost the store.
        if (!this.options.isInTouch() || !await this.options.refresh()) {
            return encode(new Failure(503, "the coordinator is out of touch with the store, so its view is old"));
        }
        const explainer = this.options.explainer();
        if (explainer === undefined) {
            return encode(new Failure(503, "the coordinator is still taking over"));
        }
        const answer = "job" in request ? this.#explainJob(request.job) : this.#explainSubmission(request);
        return encode(answer instanceof Failure ? answer : { ...answer, startDelay: this.options.startDelay() });
    }

    #explainJob(id: string): Answer {
        const entry = this.options.jobs.entries.get(id);
        const explanation = entry === undefined ? undefined : this.options.explainer()?.explainKnown(entry);
        return explanation ?? new Failure(404, `no job ${id} is known`);
    }

    /** Checks a submission as the callers' interface does, in the same order. */
    #explainSubmission(request: SubmissionRequest): Answer {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return new Failure(503, "the coordinator has no configuration yet");
        }
        const match = new intake.RouteTable(configuration.routes).find(request.host, request.path);
        if (match === undefined) {
            return refuse(404, "no such queue");
        }
        const { route, rest } = match;
        const needsOrganisation = !route.isPublic
            && (this.options.requiresKeys || configuration.organisations.length > 0);
        const { organisation } = request;
        if (organisation !== undefined && !needsOrganisation) {
            return new Failure(400, `jobs of queue ${route.name} belong to no organisation`);
        }
        if (organisation !== undefined && !configuration.organisations.some(({ name }) => name === organisation)) {
            return new Failure(404, `no organisation ${organisation} is configured`);
        }
        const refused = (status: number, reason: string, wait?: number) => ({
            ...refuse(status, reason, wait),
            queue: route.name,
            service: route.service,
        });
        if (needsOrganisation && organisation === undefined) {
            return refused(401, intake.KeyFault.missing);
        }
        if (rest !== "" && !platform.callerBodies.isJobId(rest)) {
            return refused(400, "malformed job id");
        }
        const body = Buffer.from(request.body);
        if (body.length > configuration.maxBodyBytes) {
            return refused(413, "the body is too large");
        }
        const submission = platform.callerBodies.decodeSubmission(body);
        if (typeof submission === "string") {
            return refused(400, submission);
        }
        const known = this.options.jobs.entries.get(rest)?.job;
        if (known !== undefined) {
            const isRepetition = known.organisation === organisation
                || (known.organisation === undefined && known.queue === route.name);
            return isRepetition
                ? this.#explainJob(rest)
                : refused(400, "the job ID belongs to another organisation");
        }
        const job: jobState.Job = {
            id: rest === "" ? previewId : rest,
            queue: route.name,
            route: intake.selectTerms(route, configuration.version),
            organisation,
            ...submission,
            submittedAt: this.options.now(),
        };
        const oversized = intake.refuseOversized(job, jobState.encodeJob(job), this.options);
        if (oversized !== undefined) {
            return refused(oversized.status, oversized.reason ?? "");
        }
        const startDelay = this.options.startDelay();
        const overload = scheduling.canMeetObjective(job, route, startDelay)
            ? this.options.shedder.findRefusal(job, route)
            : { reason: intake.RefusalReason.coordinatorBusy, wait: startDelay };
        const explanation = this.options.explainer()!.explainSubmission(job);
        return overload === undefined ? explanation : {
            ...explanation,
            verdict: types.Verdict.refused,
            refusal: { status: 429, reason: overload.reason, wait: Math.round(overload.wait) },
        };
    }
}

function refuse(status: number, reason: string, wait?: number): types.PlacementExplanation {
    return { verdict: types.Verdict.refused, refusal: { status, reason, wait }, steps: [], stepsLeftOut: 0 };
}

function decodeRequest(encoded: Uint8Array): types.ExplanationRequest | undefined {
    let document: unknown;
    try {
        document = JSON.parse(Buffer.from(encoded).toString());
    }
    catch {
        return undefined;
    }
    if (typeof document !== "object" || !document) {
        return undefined;
    }
    const { job, host, path, body, organisation } = document as Readonly<Record<string, unknown>>;
    if (typeof job === "string") {
        return { job };
    }
    const isOrganisation = organisation === undefined || typeof organisation === "string";
    return typeof host === "string" && typeof path === "string" && typeof body === "string" && isOrganisation
        ? { host, path, body, organisation }
        : undefined;
}

function encode(answer: Answer): store.RelayResponse {
    const failure = answer instanceof Failure ? answer : undefined;
    const document = failure === undefined ? answer : { error: failure.error };
    return { status: failure?.status ?? 200, body: Buffer.from(JSON.stringify(document)) };
}
