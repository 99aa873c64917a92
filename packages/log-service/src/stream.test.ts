import * as logger from "@catkinwharf/logger";
import * as http from "node:http";
import type * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as platform from "./index.js";

const limits = {
    timeoutMs: 300,
    longPollMs: 200,
    batchWaitMs: 1,
    maxBatch: 50,
    maxBacklog: 100,
    appendsPerSecond: 1000,
    snapshotEvery: 100,
};

/** What the log does with the next appends; the last one holds on. */
const AppendFate = {
    accept: "accept",
    /** Takes effect, and the connection is reset. */
    loseAnswer: "lose-answer",
    /** Takes no effect, and the connection is reset. */
    loseQuestion: "lose-question",
    /** Takes no effect and never answers. */
    ignore: "ignore",
    refuse: "refuse",
} as const;
type AppendFate = (typeof AppendFate)[keyof typeof AppendFate];

/** A log of one stream in memory. */
class TinyLog {
    readonly entries: { offset: number; appendedAt: number; body: unknown; }[] = [];
    readonly appends: string[] = [];
    oldest = 0;
    fates: AppendFate[] = [AppendFate.accept];
    ignoreReads = false;
    reads = 0;
    private waiting: (() => void)[] = [];
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

    put(...ids: string[]): void {
        ids.forEach(id => this.entries.push({ offset: this.entries.length, appendedAt: 1, body: { id } }));
        this.waiting.splice(0).forEach(wake => wake());
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
        await this.wait(from, Number(url.searchParams.get("waitMs")));
        const entries = this.entries.slice(from, from + Number(url.searchParams.get("limit")));
        const bounds = { oldestOffset: this.oldest, headOffset: this.entries.length };
        response.statusCode = from < this.oldest ? 410 : 200;
        response.end(JSON.stringify({ entries, nextOffset: from + entries.length, ...bounds }));
    }

    private async wait(from: number, waitMs: number): Promise<void> {
        if (from < this.entries.length) {
            return;
        }
        await new Promise<void>(resolve => {
            setTimeout(resolve, waitMs);
            this.waiting.push(resolve);
        });
    }

    private async append(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = await request.toArray();
        const body = JSON.parse(Buffer.concat(chunks).toString()) as { entries: { id: string; }[]; };
        const ids = body.entries.map(entry => entry.id);
        this.appends.push(ids.join(" "));
        const fate = this.fates.length > 1 ? this.fates.shift()! : this.fates[0]!;
        this.fateHandlers[fate](ids, response);
    }

    private readonly fateHandlers: Record<AppendFate, (ids: string[], response: http.ServerResponse) => void> = {
        "accept": (ids, response) => {
            const firstOffset = this.entries.length;
            this.put(...ids);
            response.end(JSON.stringify({ firstOffset, nextOffset: this.entries.length }));
        },
        "lose-answer": (ids, response) => {
            this.put(...ids);
            response.destroy();
        },
        "lose-question": (_ids, response) => response.destroy(),
        "ignore": () => undefined,
        "refuse": (_ids, response) => {
            response.statusCode = 503;
            response.end();
        },
    };
}

interface Scene {
    readonly log: TinyLog;
    readonly stream: platform.Stream;
    readonly delivered: number[];
    readonly gaps: number[];
    readonly retries: string[];
}

const cleanups: (() => unknown)[] = [];

async function createScene(changes: Partial<typeof limits> = {}): Promise<Scene> {
    const log = new TinyLog();
    const delivered: number[] = [];
    const gaps: number[] = [];
    const retries: string[] = [];
    const stream = new platform.Stream({
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
        counters: { count: (name, reason) => retries.push(`${name} ${reason}`) },
    });
    cleanups.push(() => log.stop(), () => stream.stop());
    return { log, stream, delivered, gaps, retries };
}

function soon(ms = 30_000): number {
    return performance.now() + ms;
}

/** Waits for a condition; the bound only turns a hang into a failure. */
async function waitFor(condition: () => boolean): Promise<void> {
    const hangsAt = performance.now() + 20_000;
    while (!condition()) {
        assert.ok(performance.now() < hangsAt, `never came true: ${condition}`);
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

const suite = uvu.suite("log client");

suite.after.each(async () => {
    for (const cleanup of cleanups.splice(0).reverse()) {
        await cleanup();
    }
});

suite("reads its records back in the order of the calls", async () => {
    const { log, stream, delivered } = await createScene();
    log.put("before");
    stream.start(0);
    const ids = Array.from({ length: 80 }, (_, index) => `r${index}`);
    const outcomes = await Promise.all(ids.map(id => stream.append({ id }, soon())));
    assert.equal(outcomes.map(outcome => outcome._unsafeUnwrap()), ids.map((_, index) => index + 1));
    assert.equal(log.ids(), ["before", ...ids]);
    assert.equal(delivered, log.entries.map(entry => entry.offset));
    await waitFor(() => stream.freshAt !== undefined && stream.headOffset === 81);
});

suite("doesn't append again when the answer was lost and the record is read back", async () => {
    const { log, stream, retries } = await createScene();
    log.fates = [AppendFate.loseAnswer, AppendFate.accept];
    log.ignoreReads = true;
    stream.start(0);
    const once = stream.append({ id: "once" }, soon());
    const next = stream.append({ id: "next" }, soon());
    await waitFor(() => retries.filter(retry => retry === "read_retry unanswered").length === 2);
    assert.ok(retries.includes("append_retry unanswered"));
    log.ignoreReads = false;
    assert.equal([(await once)._unsafeUnwrap(), (await next)._unsafeUnwrap()], [0, 1]);
    assert.equal(log.ids(), ["once", "next"]);
});

suite("appends again with the same id when the lost append had no effect", async () => {
    const { log, stream } = await createScene();
    log.fates = [AppendFate.loseQuestion, AppendFate.ignore, AppendFate.refuse, AppendFate.accept];
    stream.start(0);
    const outcomes = await Promise.all([stream.append({ id: "a" }, soon()), stream.append({ id: "b" }, soon())]);
    assert.equal(outcomes.map(outcome => outcome._unsafeUnwrap()), [0, 1]);
    assert.equal(log.appends, ["a b", "a b", "a b", "a b"]);
    assert.equal(log.ids(), ["a", "b"]);
});

suite("asks its owner where to go on when the offset is no longer kept", async () => {
    const { log, stream, delivered, gaps } = await createScene();
    log.put("a", "b", "c");
    log.oldest = 2;
    stream.start(0);
    await waitFor(() => delivered.length === 1);
    assert.equal(gaps, [2]);
    assert.equal(delivered, [2]);
});

suite("bounds the backlog, and never sends what its caller was told is dropped", async () => {
    const { log, stream } = await createScene({ maxBacklog: 2, maxBatch: 1 });
    log.fates = [AppendFate.ignore];
    stream.start(0);
    const sent = stream.append({ id: "sent" }, soon(100));
    const waiting = stream.append({ id: "waiting" }, soon(100));
    const full = await stream.append({ id: "full" }, soon(100));
    assert.is(full._unsafeUnwrapErr().fault, "backlog-full");
    assert.is((await sent)._unsafeUnwrapErr().fault, "unanswered");
    assert.is((await waiting)._unsafeUnwrapErr().fault, "unreachable");
    log.fates = [AppendFate.accept];
    await stream.append({ id: "later" }, soon());
    assert.equal(log.ids(), ["later"]);
    assert.equal(log.appends, ["sent", "later"]);
});

suite("isn't fresh by the answer of a replica that lags", async () => {
    const { log, stream } = await createScene();
    log.put("a", "b");
    stream.start(0);
    await waitFor(() => stream.freshAt !== undefined);
    const lagsAt = performance.now();
    log.entries.pop();
    await waitFor(() => log.reads > 5);
    assert.ok(stream.freshAt! <= lagsAt);
    assert.is(stream.headOffset, 2);
});

suite("takes entries of a peer only where they continue, also while the platform is silent", async () => {
    const { log, stream, delivered } = await createScene();
    log.ignoreReads = true;
    stream.start(5);
    const entries = [5, 6, 7].map(offset => ({ offset, appendedAt: 1, body: { id: `p${offset}` } }));
    stream.offer(entries.slice(1));
    stream.offer(entries.slice(0, 2));
    stream.offer(entries);
    assert.equal(delivered, [5, 6, 7]);
    assert.is(stream.freshAt, undefined);
});

suite("gives up a silent connection and goes on over a new one", async () => {
    const { log, stream, delivered, retries } = await createScene();
    log.ignoreReads = true;
    stream.start(0);
    await waitFor(() => retries.includes("read_retry unanswered"));
    log.ignoreReads = false;
    log.put("a");
    await waitFor(() => delivered.length === 1);
});

suite.run();
