import * as logger from "@catkinwharf/logger";
import * as http from "node:http";
import type * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as logService from "./index.js";

const limits = {
    timeoutMs: 300,
    longPollMs: 200,
    batchWaitMs: 1,
    maxBatch: 50,
    maxBacklog: 100,
    appendsPerSecond: 1000,
    snapshotEvery: 100,
};

/** How the log handles an append. */
const AppendBehavior = {
    accept: "accept",
    /** The append takes effect, and the connection is closed without a response. */
    loseResponse: "lose-response",
    /** The append has no effect, and the connection is closed without a response. */
    loseRequest: "lose-request",
    /** The append has no effect and gets no response. */
    ignore: "ignore",
    refuse: "refuse",
} as const;
type AppendBehavior = (typeof AppendBehavior)[keyof typeof AppendBehavior];

/** In-memory log service with one stream. */
class InMemoryLog {
    readonly entries: { offset: number; appendedAt: number; body: unknown; }[] = [];
    readonly appends: string[] = [];
    oldest = 0;
    /** Behaviors of the next appends, in order; the last one applies to all further appends. */
    appendBehaviors: AppendBehavior[] = [AppendBehavior.accept];
    ignoreReads = false;
    reads = 0;
    private waiters: (() => void)[] = [];
    private readonly server = http.createServer((request, response) => void this.handle(request, response));

    async start(): Promise<string> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        return `http://127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
    }

    stop(): void {
        this.server.closeAllConnections();
        this.server.close();
    }

    ids(): string[] {
        return this.entries.map(entry => (entry.body as { id: string; }).id);
    }

    addEntries(...ids: string[]): void {
        ids.forEach(id => this.entries.push({ offset: this.entries.length, appendedAt: 1, body: { id } }));
        this.waiters.splice(0).forEach(wake => wake());
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const url = new URL(request.url ?? "/", "http://log");
        if (request.method === "POST") {
            await this.append(request, response);
            return;
        }
        if (this.ignoreReads) {
            return;
        }
        this.reads += 1;
        const from = Number(url.searchParams.get("from"));
        await this.waitForEntries(from, Number(url.searchParams.get("waitMs")));
        const entries = this.entries.slice(from, from + Number(url.searchParams.get("limit")));
        const bounds = { oldestOffset: this.oldest, headOffset: this.entries.length };
        response.statusCode = from < this.oldest ? 410 : 200;
        response.end(JSON.stringify({ entries, nextOffset: from + entries.length, ...bounds }));
    }

    private async waitForEntries(from: number, waitMs: number): Promise<void> {
        if (from < this.entries.length) {
            return;
        }
        await new Promise<void>(resolve => {
            setTimeout(resolve, waitMs);
            this.waiters.push(resolve);
        });
    }

    private async append(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = await request.toArray();
        const body = JSON.parse(Buffer.concat(chunks).toString()) as { entries: { id: string; }[]; };
        const ids = body.entries.map(entry => entry.id);
        this.appends.push(ids.join(" "));
        const behavior = this.appendBehaviors.length > 1 ? this.appendBehaviors.shift()! : this.appendBehaviors[0]!;
        this.appendHandlers[behavior](ids, response);
    }

    private readonly appendHandlers: Record<AppendBehavior, (ids: string[], response: http.ServerResponse) => void> = {
        "accept": (ids, response) => {
            const firstOffset = this.entries.length;
            this.addEntries(...ids);
            response.end(JSON.stringify({ firstOffset, nextOffset: this.entries.length }));
        },
        "lose-response": (ids, response) => {
            this.addEntries(...ids);
            response.destroy();
        },
        "lose-request": (_ids, response) => response.destroy(),
        "ignore": () => undefined,
        "refuse": (_ids, response) => {
            response.statusCode = 503;
            response.end();
        },
    };
}

interface Fixture {
    readonly log: InMemoryLog;
    readonly stream: logService.Stream;
    readonly delivered: number[];
    readonly gaps: number[];
    readonly countedFailures: string[];
}

const cleanups: (() => unknown)[] = [];

async function createFixture(changes: Partial<typeof limits> = {}): Promise<Fixture> {
    const log = new InMemoryLog();
    const delivered: number[] = [];
    const gaps: number[] = [];
    const countedFailures: string[] = [];
    const stream = new logService.Stream({
        url: await log.start(),
        stream: "fleet",
        limits: { ...limits, ...changes },
        handlers: {
            onEntries: entries => entries.forEach(entry => delivered.push(entry.offset)),
            onGap: async oldest => {
                gaps.push(oldest);
                return oldest;
            },
        },
        clock: () => performance.now(),
        logger: logger.silentLogger,
        counters: { count: (name, reason) => countedFailures.push(`${name} ${reason}`) },
    });
    cleanups.push(() => log.stop(), () => stream.stop());
    return { log, stream, delivered, gaps, countedFailures };
}

function createDeadline(ms = 30_000): number {
    return performance.now() + ms;
}

/** Waits for a condition; fails after a time that is far longer than the condition needs. */
async function waitFor(condition: () => boolean): Promise<void> {
    const timeoutAt = performance.now() + 20_000;
    while (!condition()) {
        assert.ok(performance.now() < timeoutAt, `timed out waiting for ${condition}`);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const suite = uvu.suite("log client");

suite.after.each(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

suite("reads records back in the order of the calls", async () => {
    const { log, stream, delivered } = await createFixture();
    log.addEntries("before");
    stream.start(0);
    const ids = Array.from({ length: 80 }, (_, index) => `r${index}`);
    const outcomes = await Promise.all(ids.map(id => stream.append({ id }, createDeadline())));
    assert.equal(outcomes.map(outcome => outcome._unsafeUnwrap()), ids.map((_, index) => index + 1));
    assert.equal(log.ids(), ["before", ...ids]);
    assert.equal(delivered, log.entries.map(entry => entry.offset));
    await waitFor(() => stream.caughtUpAt !== undefined && stream.headOffset === 81);
});

suite("doesn't append again when the response was lost and the record is read back", async () => {
    const { log, stream, countedFailures } = await createFixture();
    log.appendBehaviors = [AppendBehavior.loseResponse, AppendBehavior.accept];
    log.ignoreReads = true;
    stream.start(0);
    const once = stream.append({ id: "once" }, createDeadline());
    const next = stream.append({ id: "next" }, createDeadline());
    await waitFor(() => countedFailures.filter(failure => failure === "read_retry unanswered").length === 2);
    assert.ok(countedFailures.includes("append_retry unanswered"));
    log.ignoreReads = false;
    assert.equal([(await once)._unsafeUnwrap(), (await next)._unsafeUnwrap()], [0, 1]);
    assert.equal(log.ids(), ["once", "next"]);
});

suite("appends again with the same id when a failed append had no effect", async () => {
    const { log, stream } = await createFixture();
    log.appendBehaviors = [
        AppendBehavior.loseRequest,
        AppendBehavior.ignore,
        AppendBehavior.refuse,
        AppendBehavior.accept,
    ];
    stream.start(0);
    const outcomes = await Promise.all([
        stream.append({ id: "a" }, createDeadline()),
        stream.append({ id: "b" }, createDeadline()),
    ]);
    assert.equal(outcomes.map(outcome => outcome._unsafeUnwrap()), [0, 1]);
    assert.equal(log.appends, ["a b", "a b", "a b", "a b"]);
    assert.equal(log.ids(), ["a", "b"]);
});

suite("asks its owner for the next offset when the current one is no longer kept", async () => {
    const { log, stream, delivered, gaps } = await createFixture();
    log.addEntries("a", "b", "c");
    log.oldest = 2;
    stream.start(0);
    await waitFor(() => delivered.length === 1);
    assert.equal(gaps, [2]);
    assert.equal(delivered, [2]);
});

suite("limits the backlog, and never sends a record after reporting it as unreachable", async () => {
    const { log, stream } = await createFixture({ maxBacklog: 2, maxBatch: 1 });
    log.appendBehaviors = [AppendBehavior.ignore];
    stream.start(0);
    const sent = stream.append({ id: "sent" }, createDeadline(100));
    const waiting = stream.append({ id: "waiting" }, createDeadline(100));
    const full = await stream.append({ id: "full" }, createDeadline(100));
    assert.is(full._unsafeUnwrapErr().fault, "backlog-full");
    assert.is((await sent)._unsafeUnwrapErr().fault, "unanswered");
    assert.is((await waiting)._unsafeUnwrapErr().fault, "unreachable");
    log.appendBehaviors = [AppendBehavior.accept];
    await stream.append({ id: "later" }, createDeadline());
    assert.equal(log.ids(), ["later"]);
    assert.equal(log.appends, ["sent", "later"]);
});

suite("doesn't count as caught up by the response of a lagging replica", async () => {
    const { log, stream } = await createFixture();
    log.addEntries("a", "b");
    stream.start(0);
    await waitFor(() => stream.caughtUpAt !== undefined);
    const laggingSince = performance.now();
    log.entries.pop();
    await waitFor(() => log.reads > 5);
    assert.ok(stream.caughtUpAt! <= laggingSince);
    assert.is(stream.headOffset, 2);
});

suite("delivers entries from a peer only if they are contiguous, even while the platform doesn't respond", async () => {
    const { log, stream, delivered } = await createFixture();
    log.ignoreReads = true;
    stream.start(5);
    const entries = [5, 6, 7].map(offset => ({ offset, appendedAt: 1, body: { id: `p${offset}` } }));
    stream.deliverPeerEntries(entries.slice(1));
    stream.deliverPeerEntries(entries.slice(0, 2));
    stream.deliverPeerEntries(entries);
    assert.equal(delivered, [5, 6, 7]);
    assert.is(stream.caughtUpAt, undefined);
});

suite("closes an unresponsive connection and continues on a new one", async () => {
    const { log, stream, delivered, countedFailures } = await createFixture();
    log.ignoreReads = true;
    stream.start(0);
    await waitFor(() => countedFailures.includes("read_retry unanswered"));
    log.ignoreReads = false;
    log.addEntries("a");
    await waitFor(() => delivered.length === 1);
});

suite.run();
