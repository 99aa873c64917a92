/**
 * Guards against requests that are served without a valid key, against valid ones that are refused, against jobs that another
 * organisation sees or takes over, and against keys in the log.
 */
import type * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as jobStateTesting from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as neverthrow from "neverthrow";
import * as timers from "node:timers/promises";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as intake from "./index.js";
import * as testing from "./testing/api.js";

const suite = uvu.suite("authentication");
const { route } = testing;
const publicRoute = { ...route, name: "open", pathPrefix: "/open/", isPublic: true };
const jobId = "00000000000000ab";
const jobPath = route.pathPrefix + jobId;
const noLimit = { cpu: 0, memory: 0, accelerators: 0 };
const body = platformTesting.createSubmissionBody(100);

function createOrganisation(name: string, keys: readonly string[]): platform.operatorRecords.Organisation {
    return { name, keys, weight: 1, limit: noLimit };
}

function createConfiguration(
    version: number,
    organisations: readonly platform.operatorRecords.Organisation[],
): platform.operatorRecords.Configuration {
    return testing.createConfiguration({ version, routes: [route, publicRoute], organisations });
}

const both = createConfiguration(1, [createOrganisation("a", ["key-a", "key-a2"]), createOrganisation("b", ["key-b"])]);

/** A process with a job table, whose writer's store confirms each append, and whose topic is read by `read`. */
class Process {
    readonly jobs = new jobState.JobTable();
    readonly lines: string[] = [];
    readonly unstored: jobState.Job[] = [];
    readonly written: jobState.KeyedRecord[] = [];
    configuration = both;
    configurationAge = 0;
    configurationReads = 0;
    storeUnavailable = false;
    /** What a read of the configuration brings; `undefined` if the store can't be read. */
    newest: platform.operatorRecords.Configuration | undefined = both;
    /** Called while an append is under way. */
    onAppend = (records: readonly jobState.KeyedRecord[]) => records.forEach(record => this.read(record));

    constructor(private readonly overrides: Partial<intake.JobApiOptions> = {}) {}

    read({ key, value }: jobState.KeyedRecord): void {
        this.jobs.applySubmission(key, value);
    }

    send(
        method: string,
        path: string,
        authorization?: string,
        more: Partial<testing.Sent> = {},
    ): Promise<testing.Received> {
        const headers = authorization === undefined ? {} : { authorization };
        const sent = method === "POST" ? { body } : {};
        return testing.send(this.#options, { method, path, headers, ...sent, ...more });
    }

    get #options(): intake.JobApiOptions {
        const add = (event: string, fields?: eventLog.Fields) =>
            void this.lines.push(JSON.stringify({ event, fields }));
        return testing.createOptions({
            jobs: this.jobs,
            writer: new intake.SubmissionWriter({
                store: {
                    append: async (_, records) => {
                        await timers.setTimeout(5);
                        this.written.push(...records);
                        this.onAppend(records);
                        return neverthrow.ok({ kind: "stored", offset: 0, end: 1 });
                    },
                },
                storeLimits: { appendSize: 2000, recordSize: 900 },
                jobs: this.jobs,
                monotonicNow: () => performance.now(),
                isStoreUnavailable: () => false,
            }),
            log: { counts: new Map(), info: add, warn: add },
            configuration: () => this.configuration,
            refreshConfiguration: () => {
                this.configurationReads += 1;
                if (this.newest !== undefined) {
                    this.configuration = this.newest;
                    this.configurationAge = 0;
                }
                return Promise.resolve(this.newest !== undefined);
            },
            isStoreUnavailable: () => this.storeUnavailable,
            measureDataAge: () => ({
                submissionsAge: 0,
                progressAge: 0,
                configurationAge: this.configurationAge,
            }),
            onUnstored: job => this.unstored.push(job),
            ...this.overrides,
        });
    }
}

function createJobOf(organisation: string | undefined, queue = route.name): jobState.KeyedRecord {
    return jobState.encodeJob(jobStateTesting.createJob({ id: jobId, queue, organisation, payload: "first" }));
}

/** The same, once the job has ended and only its short form is stored. */
function createEndedJobOf(organisation: string | undefined, queue = route.name): jobState.KeyedRecord {
    const job = jobStateTesting.createJob({ id: jobId, queue, organisation, payload: "first" });
    return jobState.encodeEndedJob(job, jobState.JobStatus.completed);
}

function readMessage({ body: text }: testing.Received): string {
    return String((JSON.parse(text) as { readonly Error?: unknown; }).Error);
}

const oddHeaders: readonly (readonly [string | undefined, string])[] = [
    [undefined, "the request has no API key"],
    ["", "the Authorization header is malformed"],
    ["Token", "the Authorization header is malformed"],
    ["Token ", "the Authorization header is malformed"],
    ["key-a", "the Authorization header is malformed"],
    ["Basic key-a", "the Authorization header is malformed"],
    ["TokenXkey-a", "the Authorization header is malformed"],
    ["Token key-a key-a", "the Authorization header is malformed"],
    ["Token \u00e9", "the Authorization header is malformed"],
    ["Token key", "the API key is unknown"],
    ["Token key-aa", "the API key is unknown"],
    ["Token KEY-A", "the API key is unknown"],
    ["Token a", "the API key is unknown"],
    ...["__proto__", "constructor", "toString", "hasOwnProperty", "undefined", "null", "0"].map(name =>
        [`Token ${name}`, "the API key is unknown"] as const
    ),
];

suite("a request without a valid key is served, or isn't told what is wrong with the key", async () => {
    const process = new Process();
    process.read(createJobOf("a"));
    for (const [header, message] of oddHeaders) {
        for (const method of ["POST", "GET", "DELETE"]) {
            const path = method === "GET" && header === undefined ? route.pathPrefix : jobPath;
            const received = await process.send(method, path, header);
            assert.is(received.status, 401, `${method} with ${header}`);
            assert.is(received.headers["www-authenticate"], "Token");
            assert.is(readMessage(received), message, `${method} with ${header}`);
        }
    }
    assert.equal(process.written, []);
});

suite("a valid key is refused, or a queue needs one although it is public", async () => {
    const process = new Process();
    for (const header of ["Token key-a", "token key-a2", "TOKEN  key-a", "tOkEn key-a "]) {
        assert.is((await process.send("POST", jobPath, header)).status, 200, header);
        assert.is((await process.send("GET", jobPath, header)).status, 200, header);
        assert.is((await process.send("GET", route.pathPrefix, header)).status, 200, header);
    }
    assert.is(process.jobs.entries.get(jobId)?.job?.organisation, "a");
    const open = `${publicRoute.pathPrefix}00000000000000ac`;
    assert.is((await process.send("POST", open)).status, 200);
    assert.is((await process.send("GET", open, "Token wrong")).status, 200);
    assert.is(process.jobs.entries.get("00000000000000ac")?.job?.organisation, undefined);
});

suite("a key is needed, or not, although the settings and the configuration say otherwise", async () => {
    const none = createConfiguration(1, []);
    const process = new Process();
    process.configuration = none;
    process.newest = none;
    assert.is((await process.send("POST", jobPath)).status, 200);
    const strict = new Process({ requiresKeys: true });
    strict.configuration = none;
    strict.newest = none;
    assert.is((await strict.send("POST", jobPath)).status, 401);
    assert.is((await strict.send("POST", jobPath, "Token key-a")).status, 401);
    assert.is((await strict.send("GET", "/nowhere/")).status, 404);
});

suite("a revoked key goes on working, or a new one is refused as long as this process hasn't read of it", async () => {
    const process = new Process();
    process.configurationAge = 1000;
    process.newest = createConfiguration(2, [createOrganisation("a", ["key-new"]), createOrganisation("b", ["key-b"])]);
    assert.is((await process.send("POST", jobPath, "Token key-new")).status, 200);
    assert.is(process.configurationReads, 1);
    assert.is((await process.send("GET", jobPath, "Token key-new")).status, 200);
    for (const key of ["key-a", "key-a2"]) {
        assert.is((await process.send("GET", jobPath, `Token ${key}`)).status, 401);
    }
    // Wrong keys don't cause a read each.
    assert.is(process.configurationReads, 1);
    process.configurationAge = 2001;
    process.newest = createConfiguration(3, [createOrganisation("b", ["key-b"])]);
    assert.is((await process.send("GET", jobPath, "Token key-new")).status, 401);
});

suite(
    "a process that can't read the store refuses a key that may be valid as unknown, or one that it knows",
    async () => {
        for (const storeUnavailable of [false, true]) {
            const process = new Process();
            process.newest = undefined;
            process.configurationAge = 1500;
            process.storeUnavailable = storeUnavailable;
            process.read(createJobOf("a"));
            const unknown = await process.send("GET", jobPath, "Token key-new");
            assert.is(unknown.status, 503);
            assert.ok(Number(unknown.headers["retry-after"]) >= 1);
            assert.is((await process.send("GET", jobPath, "Token key-a")).status, 200);
            assert.is((await process.send("GET", jobPath)).status, 401);
        }
    },
);

suite("strict revocation lets a process that is cut off go on with old keys, or stops it without need", async () => {
    const process = new Process({ maxKeyAge: 5000 });
    process.storeUnavailable = true;
    process.newest = undefined;
    process.read(createJobOf("a"));
    process.configurationAge = 4000;
    assert.is((await process.send("GET", jobPath, "Token key-a")).status, 200);
    process.configurationAge = 5001;
    const refused = await process.send("GET", jobPath, "Token key-a");
    assert.is(refused.status, 503);
    assert.ok(Number(refused.headers["retry-after"]) >= 1);
    assert.is((await process.send("GET", publicRoute.pathPrefix)).status, 200);
    process.storeUnavailable = false;
    process.newest = both;
    assert.is((await process.send("GET", jobPath, "Token key-a")).status, 200);
});

suite("a job is accepted by a key that is revoked while the caller sends the body slowly", async () => {
    const process = new Process();
    const received = await process.send("POST", jobPath, "Token key-a", {
        beforeLastByte: async () => {
            await timers.setTimeout(50);
            process.configuration = createConfiguration(2, [createOrganisation("b", ["key-b"])]);
        },
    });
    assert.is(received.status, 401);
    assert.equal(process.written, []);
});

suite("a job of another organisation is shown, cancelled, or disclosed by the answer to its ID", async () => {
    const process = new Process();
    process.read(createJobOf("a"));
    const unknownPath = `${route.pathPrefix}00000000000000ff`;
    for (const method of ["GET", "DELETE"]) {
        const foreign = await process.send(method, jobPath, "Token key-b");
        const absent = await process.send(method, unknownPath, "Token key-b");
        assert.is(foreign.status, 410);
        assert.equal([foreign.status, foreign.body], [absent.status, absent.body]);
    }
    const submitted = await process.send("POST", jobPath, "Token key-b");
    assert.is(submitted.status, 400);
    assert.is(submitted.body, "");
    // Two cancellations of jobs that the organisation may submit, none of which holds for the other's job.
    const written = process.written.map(({ key, value }) => jobState.decodeSubmission(key, value));
    assert.is(written.length, 2);
    for (const record of written) {
        assert.ok(record?.kind === "advance-cancellation");
        assert.is(record.cancellation.organisation, "b");
        assert.not(jobState.isInScope(process.jobs.entries.get(jobId)!.job!, record.cancellation));
    }
    assert.is(process.jobs.entries.get(jobId)!.cancelledAt, undefined);
    assert.equal(process.unstored, []);
    assert.is((await process.send("POST", jobPath, "Token key-a2")).status, 200);
    assert.is((await process.send("DELETE", jobPath, "Token key-a2")).status, 200);
});

suite("a submission counts as a repetition of the job of another organisation or of a public queue", async () => {
    const busy = new Process({
        startDelay: () => 2400,
        refreshJobs: () => {
            busy.read(createJobOf("a"));
            return Promise.resolve(true);
        },
    });
    assert.is((await busy.send("POST", jobPath, "Token key-b")).status, 400);
    assert.is((await busy.send("POST", jobPath, "Token key-a")).status, 200);
    const process = new Process();
    process.read(createJobOf(undefined, publicRoute.name));
    assert.is((await process.send("POST", jobPath, "Token key-a")).status, 400);
    // One of the same queue is from before the queue required keys.
    const upgraded = new Process();
    upgraded.read(createJobOf(undefined));
    assert.is((await upgraded.send("POST", jobPath, "Token key-a")).status, 200);
});

suite(
    "an ended job is told from a new or a foreign one by its submission, of which the short form is left",
    async () => {
        const paths = [jobPath, publicRoute.pathPrefix + jobId];
        const keys = ["Token key-a", "Token key-a2", "Token key-b"];
        for (
            const [organisation, queue] of [["a", route.name], [undefined, route.name], [undefined, publicRoute.name]]
        ) {
            const answers = await Promise.all([false, true].map(async isShortened => {
                const process = new Process();
                process.read(createJobOf(organisation, queue));
                const progress = jobState.createProgress(0);
                progress.status = jobState.JobStatus.completed;
                process.jobs.applyProgress(jobId, progress);
                if (isShortened) {
                    process.read(createEndedJobOf(organisation, queue));
                    process.jobs.clearProgress();
                }
                const received: unknown[] = [];
                for (const method of ["GET", "DELETE", "POST"]) {
                    for (const path of paths) {
                        for (const key of keys) {
                            const answer = await process.send(method, path, key);
                            received.push([method, path, key, answer.status, answer.body]);
                        }
                    }
                }
                // Cancellations of jobs that the callers may submit, none of which holds for this one.
                for (const { key, value } of process.written) {
                    const record = jobState.decodeSubmission(key, value);
                    assert.ok(record?.kind === "advance-cancellation");
                    assert.not(jobState.isInScope(process.jobs.entries.get(jobId)!.job!, record.cancellation));
                }
                return [received, process.written.map(({ key }) => key)];
            }));
            assert.equal(answers[1], answers[0]);
        }
    },
);

for (
    const [when, first] of [
        ["before", createJobOf("a")],
        ["after", createJobOf("a")],
        ["after", createEndedJobOf("a")],
    ] as const
) {
    const form = jobState.decodeSubmission(first.key, first.value)!.kind;
    suite(
        `a job is accepted although another organisation's came first, read (${form}) just ${when} the append's answer`,
        async () => {
            const process = new Process();
            process.onAppend = records => {
                if (process.written.length > 1) {
                    return;
                }
                const apply = () => [first, ...records].forEach(record => process.read(record));
                if (when === "before") {
                    apply();
                }
                else {
                    setTimeout(apply, 50);
                }
            };
            assert.is((await process.send("POST", jobPath, "Token key-b")).status, 400);
            assert.is(process.jobs.entries.get(jobId)?.job?.organisation, "a");
            assert.is((await process.send("GET", jobPath, "Token key-b")).status, 410);
            // Processes that start later read only the newest record.
            assert.equal(process.written.at(-1), first);
            assert.equal(process.unstored, []);
        },
    );
}

suite("a key appears in the log", async () => {
    const broken = () => Promise.reject(new Error("broken"));
    const process = new Process();
    const failing = new Process({ refreshJobs: broken });
    const keys = ["key-a", "key-b", "wrong-key"];
    for (const key of keys) {
        const paths = [jobPath, `${jobPath}?key=${key}`, route.pathPrefix + key, `/${key}`, `/quotes/%3f${key}`];
        for (const path of paths) {
            for (const method of ["POST", "GET", "DELETE", "PUT"]) {
                await process.send(method, path, `Token ${key}`);
                await process.send(method, path, key);
                await failing.send(method, path, `Token ${key}`);
            }
        }
        await failing.send("GET", `${route.pathPrefix}00000000000000ff?key=${key}`, `Token ${key}`);
        await process.send("GET", `http://${key}@${route.host}${jobPath}`, `Token ${key}`);
    }
    assert.ok(process.lines.some(line => line.includes("request-answered")));
    assert.ok(failing.lines.some(line => line.includes("request-broken")));
    for (const line of [...process.lines, ...failing.lines]) {
        assert.not.ok(keys.some(key => line.includes(key)), line);
    }
});

suite.run();
