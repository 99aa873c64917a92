/**
 * The process of an entry instance: follows the store, serves callers, and coordinates when it is its turn.
 */
import * as dispatch from "@catkinwharf/dispatch";
import type * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as intake from "@catkinwharf/intake";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as storeClient from "@catkinwharf/store";
import * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as metrics from "./metrics.js";

/** Time in ms for which a read waits at the store; bounds how long a silent connection goes unnoticed. */
const readWait = 1000;
/** Time in ms for which reads gather records where nobody waits for them. */
const followerPause = 150;
/** The same for the coordinator's look at its own ledger. */
const ownLedgerPause = 500;
/** Time in ms between two tries of a new coordinator to read the submissions. */
const takeoverRetryDelay = 100;
/** Time in ms between two tries of a process to tell its peers where it is. */
const announceRetryDelay = 500;
/** Time in ms since the store's last answer for which a coordinator tells its peers that it coordinates. */
const coordinatorPatience = 1200;
/** Time in ms kept of the grace period for ending in order. */
const endMargin = 1200;
/** Time in ms for which callers may keep a connection idle; longer than they do themselves. */
const keepAliveTimeout = 75_000;

export class NodeProcess {
    readonly #calls = new httpCalls.HttpCalls();
    readonly #clock = dispatch.systemClocks;
    readonly #jobs = new jobState.JobTable();
    readonly #store: storeClient.StoreClient;
    readonly #routes: storeClient.StoreRoutes;
    /** Addresses of the peers' relays, by process. */
    readonly #peers = new Map<string, string>();
    readonly #submissions: storeClient.TopicFollower;
    readonly #ledger: storeClient.TopicFollower;
    readonly #operator: storeClient.TopicFollower;
    readonly #watch: dispatch.LeadershipWatch;
    readonly #processStart = Date.now();
    readonly #metrics = new metrics.Metrics();
    readonly #servers: http.Server[] = [];
    readonly #waves = new Map<number, platform.operatorRecords.Wave>();
    readonly #machineOrders = new Map<string, dispatch.EarlierOrder>();
    readonly #waveProgress = new Map<number, jobState.WaveProgress>();
    #configuration: platform.operatorRecords.Configuration | undefined;
    #coordinator: dispatch.Coordinator | undefined;
    #ending = false;
    #activeRequests = 0;

    constructor(private readonly settings: platform.settings.NodeSettings, private readonly log: eventLog.EventLog) {
        const wall = () => this.#clock.wall();
        this.#routes = new storeClient.StoreRoutes(settings.storeAddress);
        this.#store = new storeClient.StoreClient(this.#calls, this.#routes, log, wall);
        this.#submissions = this.#createFollower(jobState.submissionsTopic, {
            apply: record => this.#applySubmission(record),
        }, () => this.#coordinator === undefined ? followerPause : 0);
        this.#ledger = this.#createFollower(jobState.ledgerTopic, {
            apply: record => this.#applyLedger(record),
            reset: () => this.#forgetProgress(),
        }, () => this.#coordinator === undefined ? followerPause : ownLedgerPause);
        this.#operator = this.#createFollower(platform.storeCalls.operatorTopic, {
            apply: record => this.#applyOperator(record),
        }, () => 0);
        this.#watch = new dispatch.LeadershipWatch({
            node: settings.node,
            processStart: this.#processStart,
            store: this.#store,
            ledger: this.#ledger,
            log,
            clock: this.#clock,
            ask: node => this.#askPeer(node),
            onClaimed: (epoch, before) => void this.#coordinate(epoch, before),
            isPrepared: () => this.#configuration !== undefined && this.#submissions.loaded && !this.#ending,
        });
        this.#jobs.onSubmission = entry => this.#coordinator?.considerJob(entry);
    }

    start(): void {
        this.log.info("started", { processStart: this.#processStart, store: this.settings.storeAddress });
        const port = this.#createPort();
        this.#listen(port, this.settings.callerAddress);
        if (this.settings.readinessAddress !== this.settings.callerAddress) {
            this.#listen(port, this.settings.readinessAddress);
        }
        this.#submissions.start();
        this.#ledger.start();
        this.#operator.start();
        this.#watch.start();
        void this.#offerRelay();
        this.#metrics.watchEvents(this.log);
        this.#metrics.serve(`${this.settings.ip}:${this.settings.internalPorts[0]}`, this.log);
    }

    /** Ends in order: no new connections, requests in progress are answered, coordination is given up. */
    async end(): Promise<void> {
        if (this.#ending) {
            return;
        }
        const began = this.#clock.steady();
        this.#ending = true;
        this.log.info("stopping", { coordinating: this.#coordinator !== undefined });
        this.#watch.stop();
        await this.#coordinator?.resign();
        const limit = this.settings.bounds.grace - endMargin;
        while (this.#clock.steady() - began < limit) {
            await timers.setTimeout(50);
        }
        this.#servers.forEach(server => server.close());
        this.#servers.forEach(server => server.closeIdleConnections());
        while (this.#activeRequests > 0 && this.#clock.steady() - began < limit + endMargin / 2) {
            await timers.setTimeout(20);
        }
        this.log.info("stopped", { requestsLeft: this.#activeRequests });
    }

    #createFollower(
        topic: string,
        handlers: storeClient.TopicHandlers,
        pause: () => number,
    ): storeClient.TopicFollower {
        const options = { topic, handlers, wait: readWait, pause };
        return new storeClient.TopicFollower(this.#store, options, this.log, () => this.#clock.wall());
    }

    #createPort(): intake.CallerPort {
        return new intake.CallerPort({
            jobs: this.#jobs,
            keeper: new intake.SubmissionKeeper({
                store: this.#store,
                jobs: this.#jobs,
                steady: () => this.#clock.steady(),
                isStoreOut: () => this.#isStoreOut(),
            }),
            log: this.log,
            steady: () => this.#clock.steady(),
            wall: () => this.#clock.wall(),
            configuration: () => this.#configuration,
            refreshJobs: () => this.#submissions.catchUp(),
            isStoreLost: () => this.#isStoreOut(),
            isReady: () => this.#isReady(),
            isEnding: () => this.#ending,
            count: (kind, outcome, duration) => this.#metrics.countRequest(kind, outcome, duration),
        });
    }

    #isStoreOut(): boolean {
        return this.#store.isOut(this.#clock.wall());
    }

    #isReady(): boolean {
        return !this.#ending && this.#configuration !== undefined && this.#submissions.loaded && this.#ledger.loaded
            && !this.#isStoreOut();
    }

    #listen(port: intake.CallerPort, address: string): void {
        const [host, number] = address.split(":");
        const server = http.createServer((message, response) => {
            this.#activeRequests += 1;
            response.once("close", () => this.#activeRequests -= 1);
            app.handler(message as never, response, undefined as never);
        });
        const app = port.createApp();
        server.keepAliveTimeout = keepAliveTimeout;
        server.on("error", error => {
            this.log.warn("listen-failed", { address, error: String(error) });
            process.exitCode = 1;
            setTimeout(() => process.exit(), 100);
        });
        server.listen(Number(number), host, () => this.log.info("listening", { address: describe(server) }));
        this.#servers.push(server);
    }

    #applySubmission(record: platform.storeCalls.KeyedRecord): void {
        const node = jobState.decodeNode(record.key, record.value);
        if (node === undefined) {
            this.#jobs.applySubmission(record.key, record.value);
            return;
        }
        if (node.node !== this.settings.node) {
            this.#peers.set(node.node, node.address);
            this.#routes.setPeers([...this.#peers.values()]);
        }
    }

    async #askPeer(node: string): Promise<boolean | undefined> {
        const address = this.#peers.get(node);
        return address === undefined ? undefined : storeClient.askCoordinating(this.#calls, address);
    }

    /** Lets peers call the store through this process, and tells them where. */
    async #offerRelay(): Promise<void> {
        const relay = storeClient.createRelay({
            storeAddress: this.settings.storeAddress,
            calls: this.#calls,
            routes: this.#routes,
            log: this.log,
            now: () => this.#clock.wall(),
            isCoordinating: () =>
                this.#watch.leading && this.#clock.wall() - this.#store.lastSuccess < coordinatorPatience,
        });
        const port = this.settings.internalPorts[1];
        relay.on("error", error => this.log.warn("relay-unavailable", { port, error: String(error) }));
        relay.keepAliveTimeout = keepAliveTimeout;
        relay.listen(port, this.settings.ip);
        const record = jobState.encodeNode({ node: this.settings.node, address: `${this.settings.ip}:${port}` });
        while (!this.#ending && (await this.#store.append(jobState.submissionsTopic, [record])).isErr()) {
            await timers.setTimeout(announceRetryDelay);
        }
    }

    #applyLedger(record: platform.storeCalls.KeyedRecord): void {
        const decoded = jobState.decodeLedger(record.key, record.value);
        this.#watch.noteRecord(decoded);
        if (decoded?.kind === "machine") {
            const { epoch, tenure } = decoded;
            this.#machineOrders.set(decoded.id, { epoch, tenure, readAt: this.#clock.steady() });
        }
        if (decoded?.kind === "wave") {
            this.#waveProgress.set(decoded.number, decoded.wave);
        }
        if (decoded?.kind === "progress" && this.#coordinator === undefined) {
            this.#jobs.applyProgress(decoded.id, decoded.progress);
        }
    }

    #forgetProgress(): void {
        if (this.#coordinator === undefined) {
            for (const entry of this.#jobs.entries.values()) {
                entry.progress = undefined;
            }
        }
    }

    #applyOperator(record: platform.storeCalls.KeyedRecord): void {
        const decoded = platform.operatorRecords.decodeOperatorRecord(record);
        if (decoded === undefined) {
            this.log.warn("operator-record-unreadable", { key: record.key });
            return;
        }
        if (decoded.kind === "wave") {
            this.#waves.set(decoded.wave.number, decoded.wave);
            this.#coordinator?.applyWave(decoded.wave);
        }
        if (decoded.kind === "configuration" && decoded.configuration.version > (this.#configuration?.version ?? -1)) {
            this.log.info("configuration-in-force", {
                version: decoded.configuration.version,
                before: this.#configuration?.version,
                routes: decoded.configuration.routes.length,
            });
            this.#configuration = decoded.configuration;
            this.#coordinator?.applyConfiguration(decoded.configuration);
        }
    }

    async #coordinate(epoch: number, before: jobState.Leadership | undefined): Promise<void> {
        while (!await this.#submissions.catchUp()) {
            if (this.#ending || this.#watch.leadership?.epoch !== epoch) {
                this.log.warn("takeover-abandoned", { epoch, reason: "the submissions can't be read" });
                this.#watch.leading = false;
                return;
            }
            await timers.setTimeout(takeoverRetryDelay);
        }
        this.#coordinator = new dispatch.Coordinator({
            settings: this.settings,
            epoch,
            processStart: this.#processStart,
            store: this.#store,
            calls: this.#calls,
            jobs: this.#jobs,
            log: this.log,
            clock: this.#clock,
            configuration: () => this.#configuration,
            waves: this.#waves,
            waveProgress: this.#waveProgress,
            machineOrders: this.#findOrderTimes(before),
            onStepDown: () => this.#stepDown(),
        });
        await this.#coordinator.start();
    }

    #findOrderTimes(before: jobState.Leadership | undefined): Map<string, number> {
        const now = this.#clock.steady();
        return new Map(
            [...this.#machineOrders].map(([machine, order]) => [machine, dispatch.findOrderTime(order, before, now)]),
        );
    }

    #stepDown(): void {
        this.#coordinator = undefined;
        this.#watch.leading = false;
        this.#ledger.reload();
    }
}

function describe(server: http.Server): string {
    const address = server.address() as net.AddressInfo;
    return `${address.address}:${address.port}`;
}
