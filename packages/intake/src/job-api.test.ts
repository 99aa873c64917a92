/** Guards against answers to callers that come from an outdated view of the jobs, or that come too late. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import * as jobStateTesting from "@catkinwharf/job-state/testing";
import * as platformTesting from "@catkinwharf/platform/testing";
import * as requestBody from "@catkinwharf/request-body";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as intake from "./index.js";
import * as testing from "./testing/api.js";

const suite = uvu.suite("job api");
const { route } = testing;

interface View {
    /** Receives the fields of each line. */
    readonly logged?: eventLog.Fields[];
    /** Ms since the process last knew all submissions and all progress. */
    age: number;
    /** Reads the topics to their ends. */
    refresh: () => Promise<boolean>;
    /** Ms since the process last knew the newest configuration, which has no routes; 0 by default. */
    configurationAge?: number;
    refreshConfiguration?: () => Promise<boolean>;
    storeUnavailable?: boolean;
    /** Ms for which tasks wait for the coordinator; 0 by default. */
    startDelay?: number;
    /** Why submissions can't be served in time. */
    refusal?: intake.Refusal;
    /** Why the body can't be read. */
    bodyFault?: requestBody.BodyFault | requestBody.WatchFault;
    /** Records that were written. */
    written?: jobState.KeyedRecord[];
}

/** Sends a GET, or a POST if there is a body, to an API whose job table is `jobs`. */
async function get(
    path: string,
    jobs: jobState.JobTable,
    view: View,
    body?: string,
): Promise<{ status: number; body: string; retryAfter: string | undefined; }> {
    let routes = [route];
    const options = testing.createOptions({
        jobs,
        log: { ...eventLog.silentEventLog, info: (_event, fields) => void view.logged?.push(fields) },
        writer: {
            write: ({ record }: intake.CallerWrite) => {
                view.written?.push(record);
                return Promise.resolve("stored");
            },
        } as unknown as intake.SubmissionWriter,
        configuration: () => testing.createConfiguration({ version: 2 - routes.length, routes }),
        refreshJobs: () => view.refresh(),
        refreshProgress: () => view.refresh(),
        refreshConfiguration: view.refreshConfiguration ?? (() => {
            routes = [];
            return Promise.resolve(true);
        }),
        isStoreUnavailable: () => view.storeUnavailable === true,
        measureDataAge: () => ({
            submissionsAge: view.age,
            progressAge: view.age,
            configurationAge: view.configurationAge ?? 0,
        }),
        startDelay: () => view.startDelay ?? 0,
        shedder: { findRefusal: () => view.refusal },
        readBody: (message, maxBytes) =>
            view.bodyFault === undefined
                ? requestBody.readBody(message, maxBytes)
                : Promise.resolve(view.bodyFault),
    });
    const method = body === undefined ? "GET" : "POST";
    const received = await testing.send(options, { method, path, body: body ?? "" });
    return { status: received.status, body: received.body, retryAfter: received.headers["retry-after"] };
}

function submit(jobs: jobState.JobTable, id: string): void {
    const record = jobState.encodeJob(jobStateTesting.createJob({ id, queue: route.name }));
    jobs.applySubmission(record.key, record.value);
}

suite("a pending count isn't taken from a view that is seconds old", async () => {
    const jobs = new jobState.JobTable();
    const view: View = {
        age: 5000,
        refresh: () => {
            submit(jobs, "00000000000000aa");
            view.age = 0;
            return Promise.resolve(true);
        },
    };
    assert.equal(JSON.parse((await get(route.pathPrefix, jobs, view)).body), { Pending: 1 });
    const behind = await get(route.pathPrefix, jobs, { age: 5000, refresh: () => Promise.resolve(false) });
    assert.is(behind.status, 503);
    assert.ok(Number(behind.retryAfter) >= 1);
});

suite("a caller isn't kept waiting beyond its time limit for a process that is behind", async () => {
    const jobs = new jobState.JobTable();
    for (const path of [route.pathPrefix, `${route.pathPrefix}00000000000000ab`]) {
        const refresh = () => new Promise<boolean>(() => {}); // Never ends.
        const response = await get(path, jobs, { age: 5000, refresh });
        assert.is(response.status, 503);
        assert.ok(Number(response.retryAfter) >= 1);
    }
});

suite("a late response doesn't tell what it waited for", async () => {
    const logged: eventLog.Fields[] = [];
    const refresh = () => new Promise<boolean>(() => {}); // Never ends.
    const path = `${route.pathPrefix}00000000000000ab`;
    await get(path, new jobState.JobTable(), { age: 0, refresh, logged });
    const waited = logged[0]?.["waitedFor"] as { readonly jobs: number; readonly peers: number; };
    assert.equal(Object.keys(waited), ["jobs", "peers"]);
    const sum = waited.jobs + waited.peers;
    const duration = logged[0]!["duration"] as number;
    assert.ok(sum >= duration - 50 && sum <= duration + 1, JSON.stringify(logged[0]));
    const jobs = new jobState.JobTable();
    await get(path, jobs, { age: 0, refresh: () => Promise.resolve(true), storeUnavailable: true, logged }, "[]");
    assert.is(logged[1]?.["status"], 400);
    assert.is(logged[1]?.["waitedFor"], undefined);
});

suite("a request is handled by a configuration that is older than allowed", async () => {
    const jobs = new jobState.JobTable();
    const behind: View = { age: 0, refresh: () => Promise.resolve(true), configurationAge: 5000 };
    assert.is((await get(route.pathPrefix, jobs, behind)).status, 404); // The newest configuration has no routes.
    const unreadable = { ...behind, refreshConfiguration: () => Promise.resolve(false) };
    assert.is((await get(route.pathPrefix, jobs, unreadable)).status, 503);
    const outage = { ...unreadable, storeUnavailable: true };
    assert.is((await get(route.pathPrefix, jobs, outage)).status, 200);
});

suite("a job that the coordinator can't start in time is accepted, and its caller waits for nothing", async () => {
    const path = `${route.pathPrefix}00000000000000ab`;
    const body = platformTesting.createSubmissionBody(800);
    const view: View = { age: 0, refresh: () => Promise.resolve(true), startDelay: 2400, written: [] };
    const refused = await get(path, new jobState.JobTable(), view, body);
    assert.is(refused.status, 429);
    assert.is(refused.retryAfter, "3");
    assert.equal(view.written, []);
    const later = await get(path, new jobState.JobTable(), { ...view, startDelay: 0 }, body);
    assert.is(later.status, 200);
    assert.is(view.written?.length, 1);
});

suite("a repeated submission is refused although another process has accepted the job", async () => {
    const jobs = new jobState.JobTable();
    const refresh = () => {
        submit(jobs, "00000000000000ab");
        return Promise.resolve(true);
    };
    const body = platformTesting.createSubmissionBody(800);
    const path = `${route.pathPrefix}00000000000000ab`;
    const busy: View = { age: 0, refresh, startDelay: 2400 };
    assert.is((await get(path, jobs, busy, body)).status, 200);
    // While the store can't be read, nobody knows.
    const unreadable = { ...busy, refresh: () => Promise.resolve(false) };
    assert.is((await get(path, new jobState.JobTable(), unreadable, body)).status, 504);
});

suite(
    "a submission that can't be served in time is refused, but not if it was accepted elsewhere or nobody knows",
    async () => {
        const path = `${route.pathPrefix}00000000000000ab`;
        const body = platformTesting.createSubmissionBody(800);
        const refusal = { reason: intake.RefusalReason.beyondRate, wait: 2400 };
        const view: View = { age: 0, refresh: () => Promise.resolve(true), refusal, written: [] };
        const refused = await get(path, new jobState.JobTable(), view, body);
        assert.equal([refused.status, refused.retryAfter], [429, "3"]);
        const jobs = new jobState.JobTable();
        const refresh = () => {
            submit(jobs, "00000000000000ab");
            return Promise.resolve(true);
        };
        assert.is((await get(path, jobs, { ...view, refresh }, body)).status, 200);
        assert.equal(view.written, []);
        // A late refusal would be worse than a wait.
        const hanging = () => new Promise<boolean>(() => {});
        assert.is((await get(path, new jobState.JobTable(), { ...view, refresh: hanging }, body)).status, 200);
        assert.is(view.written?.length, 1);
    },
);

suite(
    "a submission is stored or reported as accepted although its body wasn't read, or an accepted job is refused",
    async () => {
        const { BodyFault, WatchFault } = requestBody;
        const id = "00000000000000ac";
        for (
            const [bodyFault, status, repeated] of [
                [BodyFault.tooLarge, 413, 413],
                [WatchFault.late, 408, 200],
                [WatchFault.noMemory, 503, 200],
            ] as const
        ) {
            const jobs = new jobState.JobTable();
            const view: View = { age: 0, refresh: () => Promise.resolve(true), bodyFault, written: [] };
            const body = platformTesting.createSubmissionBody(1);
            const response = await get(`${route.pathPrefix}${id}`, jobs, view, body);
            assert.is(response.status, status);
            assert.is(response.retryAfter !== undefined, status === 503);
            submit(jobs, id);
            assert.is((await get(`${route.pathPrefix}${id}`, jobs, view, body)).status, repeated);
            assert.is(view.written!.length, 0);
        }
    },
);

suite(
    "a question about a job waits for reads that never end, or goes to peers although this process knows",
    async () => {
        const path = `${route.pathPrefix}00000000000000ab`;
        const jobs = new jobState.JobTable();
        const written: jobState.KeyedRecord[] = [];
        let answer: jobState.KnownAnswer | undefined;
        let askedCount = 0;
        const options = testing.createOptions({
            jobs,
            writer: {
                write: ({ record }: intake.CallerWrite) => {
                    written.push(record);
                    return Promise.resolve("stored");
                },
            } as unknown as intake.SubmissionWriter,
            hasRead: () => false,
            refreshJobs: () => new Promise<boolean>(() => {}),
            refreshProgress: () => new Promise<boolean>(() => {}),
            measureDataAge: () => ({ submissionsAge: 5000, progressAge: 5000, configurationAge: 0 }),
            askPeers: () => {
                askedCount += 1;
                return Promise.resolve(answer === undefined ? undefined : { node: "peer", answer });
            },
        });
        const send = (method: string, target = path) => testing.send(options, { method, path: target });
        for (const [method, target] of [["GET", path], ["DELETE", path], ["GET", route.pathPrefix]] as const) {
            const startedAt = performance.now();
            const { status, headers } = await send(method, target);
            assert.equal([status, headers["retry-after"], headers.connection], [503, "1", "close"]);
            assert.ok(performance.now() - startedAt < route.timeout * 2 / 3);
        }
        answer = { kind: "status", status: jobState.JobStatus.running };
        assert.equal(JSON.parse((await send("GET")).body), { State: "running" });
        assert.is((await send("DELETE")).status, 200);
        assert.equal(written.map(({ key }) => key), ["c:00000000000000ab"]); // Stored before it was acknowledged.
        jobs.applySubmission(written[0]!.key, written[0]!.value);
        assert.equal(JSON.parse((await send("GET")).body), { State: "cancelled" }); // The peer hasn't read it yet.
        answer = { kind: "no-job" };
        assert.is((await send("GET")).status, 410);
        assert.is((await send("DELETE")).status, 410);
        answer = { kind: "count", pending: 7 };
        assert.equal(JSON.parse((await send("GET", route.pathPrefix)).body), { Pending: 7 });
        const record = jobState.decodeSubmission(written[1]!.key, written[1]!.value);
        assert.is(record?.kind, "advance-cancellation"); // Its submission may be on its way to the store.
        assert.is(written.length, 2);
        const asked = askedCount;
        submit(jobs, "00000000000000ab");
        jobs.applyProgress("00000000000000ab", jobState.createProgress(0));
        assert.equal(JSON.parse((await send("GET")).body), { State: "cancelled" });
        assert.is(askedCount, asked);
    },
);

suite("callers are refused because a job is larger than a record of the store may be", async () => {
    const written: jobState.KeyedRecord[] = [];
    const view: View = { age: 0, refresh: () => Promise.resolve(true), written };
    const submit = (length: number) =>
        get(
            "/quotes/00000000000000aa",
            new jobState.JobTable(),
            view,
            platformTesting.createSubmissionBody(1, "x".repeat(length)),
        );
    assert.is((await submit(850)).status, 413);
    assert.is(written.length, 0);
    assert.is((await submit(100)).status, 200);
    assert.is(written.length, 1);
});

suite.run();
