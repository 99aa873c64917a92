/**
 * The process of an entry instance: follows the store's topics, serves callers, and coordinates while it is the leader.
 */
import * as dispatch from "@catkinwharf/dispatch";
import type * as eventLog from "@catkinwharf/event-log";
import * as httpCalls from "@catkinwharf/http-calls";
import * as intake from "@catkinwharf/intake";
import * as jobState from "@catkinwharf/job-state";
import * as platform from "@catkinwharf/platform";
import * as requestGuard from "@catkinwharf/request-guard";
import * as scheduling from "@catkinwharf/scheduling";
import * as store from "@catkinwharf/store";
import type * as http from "node:http";
import type * as net from "node:net";
import * as timers from "node:timers/promises";
import * as v8 from "node:v8";
import * as explanations from "./explanations.js";
import * as metrics from "./metrics.js";
import * as peerDirectory from "./peer-directory.js";
import * as peerQuestions from "./peer-questions.js";
import * as readiness from "./readiness.js";
import * as unstoredJobs from "./unstored-jobs.js";

/** Time in ms of a long poll at the store; limits how long an unresponsive connection goes unnoticed. */
const longPollTimeout = 1000;
/** Delay in ms between reads of a process that doesn't coordinate; batches records where latency doesn't matter. */
const nonCoordinatorReadDelay = 150;
/** The same for the ledger while this process coordinates: it wrote the records itself. */
const coordinatorLedgerReadDelay = 500;
/** Time in ms before a new coordinator retries to read the submissions and the ledger. */
const takeoverRetryDelay = 100;
/** Time in ms between two lines about the reads of the store. */
const readReportInterval = 1000;
/** Time in ms without a successful store call after which a coordinator stops telling peers that it coordinates. */
const coordinatorStoreTimeout = 1200;
/**
 * Part in ms at the end of the grace period in which the process no longer accepts connections: half of it is for
 * completing requests in progress, the rest for exiting before the platform kills the process.
 */
const shutdownMargin = 1200;
/**
 * Maximum connections to one backend server: one for the long poll and a few for orders. Opening a connection costs more
 * than waiting a few ms for one.
 */
const maxServerConnections = 4;
/** Time in ms between two checks whether this process should go on coordinating. */
const handOverCheckInterval = 250;
/** Time in ms without the direct route to the store after which this process leaves coordinating to others. */
const directLossBeforeDeference = 500;
/** Time in ms after which an idle connection is closed; longer than callers keep one open. */
const keepAliveTimeout = 75_000;
/**
 * Age in ms up to which the waits that a coordinator published may refuse submissions: a few heartbeats. Without a
 * coordinator nobody knows how long jobs wait.
 */
const maxWaitsAge = 1500;
/** Time in ms between two checks whether the readiness has changed, for the log. */
const readinessCheckInterval = 50;
/** What a coordinator in this process has memory for. */
const runLimits = scheduling.computeRunLimits(v8.getHeapStatistics().heap_size_limit);
/** Time in ms between two removals of old submissions from the count for committed rates. */
const committedRatesSweepInterval = 10_000;

export class EntryInstance {
    readonly #httpClient = new httpCalls.HttpClient();
    /** For calls to backend servers. */
    readonly #serverClient = new httpCalls.HttpClient(maxServerConnections);
    readonly #clock = dispatch.systemClocks;
    readonly #jobs = new jobState.JobTable();
    readonly #store: store.StoreClient;
    readonly #storeRoutes: store.StoreRoutes;
    /** Addresses of the peers' relays and the peers' capacities. */
    readonly #directory: peerDirectory.PeerDirectory;
    readonly #peerQuestions: peerQuestions.PeerQuestions;
    readonly #questionAnswerer: intake.QuestionAnswerer;
    readonly #submissions: store.TopicFollower;
    /** Follows the ledger, in which the coordinator records leadership, progress of jobs, machine orders and waves. */
    readonly #ledger: store.TopicFollower;
    readonly #operatorRecords: store.TopicFollower;
    /** `leading` from winning the election on; the coordinator starts later, once the submissions have been read. */
    readonly #leaderElection: dispatch.LeaderElection;
    /** Unix time in ms; tells this process from earlier ones of the same node name. */
    readonly #processStart = Date.now();
    readonly #metrics = new metrics.Metrics();
    readonly #guard: requestGuard.RequestGuard;
    readonly #servers: http.Server[] = [];
    /** Maintenance waves published by the operator, by number. */
    readonly #waves = new Map<number, platform.operatorRecords.Wave>();
    /**
     * Last order of a coordinator for each machine, as read from the ledger. A new coordinator has to keep a minimum
     * time to them.
     */
    readonly #machineOrders = new Map<string, dispatch.EarlierOrder>();
    readonly #waveProgress = new Map<number, jobState.WaveProgress>();
    /** Boots of the backend servers, as read from the ledger, by server ID. */
    readonly #serverBoots = new Map<string, jobState.ServerBoot>();
    readonly #unstoredJobs: unstoredJobs.UnstoredJobs;
    readonly #explanations: explanations.Explanations;
    readonly #shedder: intake.LoadShedder;
    readonly #readiness: readiness.ReadinessLog;
    #configuration: platform.operatorRecords.Configuration | undefined;
    #coordinator: dispatch.Coordinator | undefined;
    #shuttingDown = false;
    #handingOver = false;
    /** On the monotonic clock: when this process last began to coordinate. */
    #coordinatingSince = 0;
    /** Counts all submissions, for the decision on new ones. */
    readonly #committedRates = new scheduling.CommittedRates();
    /** On the monotonic clock: when the newest record of a coordinator was read. */
    #leadershipReadAt = Number.NEGATIVE_INFINITY;

    constructor(private readonly settings: platform.settings.ProcessSettings, private readonly log: eventLog.EventLog) {
        const now = () => this.#clock.wall();
        this.#guard = new requestGuard.RequestGuard({
            limits: requestGuard.guardLimits.deriveLimits(settings.machine, settings.requestLimits),
            log,
            now: () => this.#clock.monotonic(),
        });
        this.#storeRoutes = new store.StoreRoutes(settings.storeAddress);
        this.#store = new store.StoreClient(this.#httpClient, this.#storeRoutes, log, now);
        this.#directory = new peerDirectory.PeerDirectory({
            store: this.#store,
            own: {
                node: settings.node,
                // The relay uses the last internal port; the first one serves the metrics.
                address: `${settings.ip}:${settings.internalPorts[1]}`,
                capacity: settings.capacity,
            },
            monotonicNow: () => this.#clock.monotonic(),
            isShuttingDown: () => this.#shuttingDown,
            onChange: () => this.#updateRelayPeers(),
        });
        this.#peerQuestions = new peerQuestions.PeerQuestions({
            listPeers: () => this.#listPeers(),
            hasRead: () => this.#hasRead(),
            findPeers: () => this.#directory.refresh(),
            send: (...call) => store.sendQuestion(this.#httpClient, ...call),
            monotonicNow: () => this.#clock.monotonic(),
            random: Math.random,
            count: outcome => this.#metrics.countQuestion(outcome),
        });
        this.#submissions = this.#createFollower(jobState.submissionsTopic, {
            apply: record => this.#applySubmission(record),
            reset: keys => this.#jobs.dropRemoved(keys),
        }, () => this.#coordinator === undefined ? nonCoordinatorReadDelay : 0);
        this.#ledger = this.#createFollower(
            jobState.ledgerTopic,
            {
                apply: record => this.#applyLedger(record),
                reset: () => this.#clearLedger(),
            },
            () => this.#coordinator === undefined ? nonCoordinatorReadDelay : coordinatorLedgerReadDelay,
            true,
        );
        this.#operatorRecords = this.#createFollower(platform.storeCalls.operatorTopic, {
            apply: record => this.#applyOperator(record),
        }, () => 0);
        this.#questionAnswerer = new intake.QuestionAnswerer({
            jobs: this.#jobs,
            hasRead: () => this.#hasRead(),
            refreshJobs: () => this.#submissions.catchUp(),
            refreshProgress: () => this.#ledger.catchUp(),
            isStoreUnavailable: () => this.#isStoreUnavailable(),
            measureDataAge: () => this.#measureDataAge(),
        });
        this.#leaderElection = new dispatch.LeaderElection({
            node: settings.node,
            processStart: this.#processStart,
            store: this.#store,
            ledger: this.#ledger,
            log,
            clock: this.#clock,
            probeCoordinator: node => this.#probeCoordinator(node),
            defers: () =>
                !scheduling.isLargeProcess(settings.capacity, this.#listPeerCapacities())
                || this.#storeRoutes.measureDirectLoss(now()) >= directLossBeforeDeference,
            onClaimed: (claim, previous) => void this.#takeOver(claim, previous),
            isPrepared: () => this.#configuration !== undefined && this.#submissions.loaded && !this.#shuttingDown,
        });
        this.#unstoredJobs = new unstoredJobs.UnstoredJobs({ report: jobs => this.#reportUnstoredJobs(jobs), log });
        this.#shedder = new intake.LoadShedder({
            expectedWaits: () =>
                this.#clock.monotonic() - this.#leadershipReadAt <= maxWaitsAge
                    ? this.#leaderElection.newestLeadership?.waits
                    : undefined,
            committedRates: this.#committedRates,
        });
        this.#explanations = new explanations.Explanations({
            storeLimits: settings.storeLimits,
            largestGang: runLimits.gang,
            requiresKeys: settings.requiresKeys,
            jobs: this.#jobs,
            now,
            configuration: () => this.#configuration,
            startDelay: () => this.#leaderElection.newestLeadership?.startDelay ?? 0,
            shedder: this.#shedder,
            explainer: () => this.#coordinator?.explainer,
            leads: () => this.#leaderElection.leading,
            isInTouch: () => this.#isCoordinating(),
            refresh: async () => await this.#submissions.catchUp() && await this.#operatorRecords.catchUp(),
            forward: encoded => this.#forwardExplanation(encoded),
        });
        this.#readiness = new readiness.ReadinessLog({
            log,
            now: () => this.#clock.monotonic(),
            followers: [this.#operatorRecords, this.#submissions, this.#ledger],
            reads: this.#store.reads,
        });
        this.#jobs.onJobOrCancellation = entry => {
            if (entry.job !== undefined) {
                this.#committedRates.add(entry.job);
            }
            this.#coordinator?.applyJob(entry);
        };
    }

    start(): void {
        const { capacity, storeAddress } = this.settings;
        this.log.info("started", { processStart: this.#processStart, store: storeAddress, capacity });
        const api = this.#createJobApi();
        const { Port } = requestGuard.guardLimits;
        this.#listen(api, Port.callers, this.settings.callerAddress);
        if (this.settings.readinessAddress !== this.settings.callerAddress) {
            this.#listen(api, Port.readiness, this.settings.readinessAddress);
        }
        this.#submissions.start();
        this.#ledger.start();
        this.#operatorRecords.start();
        this.#leaderElection.start();
        setInterval(() => this.#handOverIfCutOff(), handOverCheckInterval).unref();
        setInterval(() => this.#readiness.update(this.#listHindrances()), readinessCheckInterval).unref();
        setInterval(() => this.#committedRates.forgetOld(this.#clock.wall()), committedRatesSweepInterval).unref();
        void this.#startRelay();
        this.#metrics.watchEvents(this.log);
        this.#metrics.watchReads(this.#store.reads);
        setInterval(() => this.#store.reads.report(this.log), readReportInterval).unref();
        this.#metrics.watchClosed(this.#guard.closed);
        this.#metrics.serve(
            `${this.settings.ip}:${this.settings.internalPorts[0]}`,
            this.log,
            handle => this.#guard.createServer(Port.metrics, () => 0, handle),
        );
    }

    /**
     * Shuts down gracefully: resigns as coordinator, keeps serving until shortly before the end of the grace period,
     * then stops accepting connections and completes the requests in progress.
     */
    async shutDown(): Promise<void> {
        if (this.#shuttingDown) {
            return;
        }
        const startedAt = this.#clock.monotonic();
        this.#shuttingDown = true;
        this.log.info("stopping", { coordinating: this.#coordinator !== undefined });
        this.#leaderElection.stop();
        await (this.#coordinator ?? this.#leaderElection).resign();
        // In ms, like all bounds of the settings.
        const servingTime = this.settings.bounds.grace - shutdownMargin;
        while (this.#clock.monotonic() - startedAt < servingTime) {
            await timers.setTimeout(50);
        }
        this.#servers.forEach(server => server.close());
        this.#servers.forEach(server => server.closeIdleConnections());
        while (
            this.#guard.countPending() > 0 && this.#clock.monotonic() - startedAt < servingTime + shutdownMargin / 2
        ) {
            await timers.setTimeout(20);
        }
        this.log.info("stopped", { requestsLeft: this.#guard.countPending() });
    }

    /** Resigns when this process coordinates and reaches the store only slowly, through peers. */
    #handOverIfCutOff(): void {
        const coordinator = this.#coordinator;
        const access = {
            directLoss: this.#storeRoutes.measureDirectLoss(this.#clock.wall()),
            latency: Math.round(this.#store.latency),
            tenure: this.#clock.monotonic() - this.#coordinatingSince,
        };
        // While nobody relays its calls either, this process can't tell anybody that it resigns.
        const mayResign = coordinator !== undefined && !this.#handingOver && !this.#shuttingDown
            && !this.#isStoreUnavailable();
        if (!mayResign || !dispatch.shouldHandOver(access)) {
            return;
        }
        this.#handingOver = true;
        this.log.warn("handing-over", access);
        void coordinator.resign().finally(() => this.#handingOver = false);
    }

    #createFollower(
        topic: string,
        handlers: store.TopicHandlers,
        pause: () => number,
        newestOnly = false,
    ): store.TopicFollower {
        const options = { topic, handlers, wait: longPollTimeout, pause, newestOnly };
        return new store.TopicFollower(this.#store, options, this.log, () => this.#clock.wall());
    }

    #createJobApi(): intake.JobApi {
        return new intake.JobApi({
            jobs: this.#jobs,
            storeLimits: this.settings.storeLimits,
            largestGang: runLimits.gang,
            writer: new intake.SubmissionWriter({
                store: this.#store,
                storeLimits: this.settings.storeLimits,
                jobs: this.#jobs,
                monotonicNow: () => this.#clock.monotonic(),
                isStoreUnavailable: () => this.#isStoreUnavailable(),
            }),
            log: this.log,
            monotonicNow: () => this.#clock.monotonic(),
            now: () => this.#clock.wall(),
            configuration: () => this.#configuration,
            refreshJobs: () => this.#submissions.catchUp(),
            refreshProgress: () => this.#ledger.catchUp(),
            refreshConfiguration: () => this.#operatorRecords.catchUp(),
            maxConfigurationAge: this.settings.bounds.configurationDelay,
            requiresKeys: this.settings.requiresKeys,
            maxKeyAge: this.settings.strictRevocation ? this.settings.bounds.revocation : undefined,
            isStoreUnavailable: () => this.#isStoreUnavailable(),
            hasRead: () => this.#hasRead(),
            askPeers: (question, deadline) => this.#peerQuestions.ask(question, deadline),
            measureDataAge: () => this.#measureDataAge(),
            isReady: () => this.#isReady(),
            isShuttingDown: () => this.#shuttingDown,
            startDelay: () => this.#leaderElection.newestLeadership?.startDelay ?? 0,
            shedder: this.#shedder,
            random: Math.random,
            readBody: (message, maxBytes) => this.#guard.readBody(message, maxBytes),
            onUnstored: job => this.#unstoredJobs.add(job),
            count: (method, status, duration) => this.#metrics.countRequest(method, status, duration),
            countRefusal: (reason, organisation) => this.#metrics.countRefusal(reason, organisation),
        });
    }

    #isStoreUnavailable(): boolean {
        return this.#store.isUnavailable(this.#clock.wall());
    }

    /** Why this process isn't ready; empty if it is. */
    #listHindrances(): readiness.Hindrance[] {
        const { Hindrance } = readiness;
        return [
            ...(this.#shuttingDown ? [Hindrance.shuttingDown] : []),
            ...(this.#configuration === undefined ? [Hindrance.configuration] : []),
            ...(this.#submissions.upToDate ? [] : [Hindrance.submissions]),
            ...(this.#ledger.upToDate ? [] : [Hindrance.ledger]),
            ...(this.#isStoreUnavailable() ? [Hindrance.store] : []),
        ];
    }

    #isReady(): boolean {
        const hindrances = this.#listHindrances();
        this.#readiness.update(hindrances);
        return hindrances.length === 0;
    }

    /** Whether the newest submissions and all progress have been read, also those stored while that took long. */
    #hasRead(): boolean {
        return this.#submissions.upToDate && this.#ledger.upToDate;
    }

    #measureDataAge(): ReturnType<intake.JobApiOptions["measureDataAge"]> {
        const now = this.#clock.wall();
        return {
            submissionsAge: now - this.#submissions.caughtUpAt,
            progressAge: now - this.#ledger.caughtUpAt,
            configurationAge: now - this.#operatorRecords.caughtUpAt,
        };
    }

    #listen(api: intake.JobApi, name: requestGuard.guardLimits.Port, address: string): void {
        const [host, port] = address.split(":");
        const app = api.createApp();
        const server = this.#guard.createServer(
            name,
            () => this.#configuration?.maxBodyBytes ?? platform.operatorRecords.defaultMaxBodyBytes,
            (message, response) => app.handler(message as never, response, undefined as never),
        );
        server.keepAliveTimeout = keepAliveTimeout;
        server.on("error", error => {
            this.log.warn("listen-failed", { address, error: String(error) });
            process.exitCode = 1;
            setTimeout(() => process.exit(), 100); // In ms: leaves time for writing the log line.
        });
        this.#guard.listen(
            server,
            name,
            host!,
            Number(port),
            () => this.log.info("listening", { address: formatAddress(server) }),
        );
        this.#servers.push(server);
    }

    /** Applies a record of the submissions topic, which also holds the addresses of the processes' relays. */
    #applySubmission(record: platform.storeCalls.KeyedRecord): void {
        if (!this.#directory.apply(record)) {
            this.#jobs.applySubmission(record.key, record.value);
        }
    }

    #updateRelayPeers(): void {
        this.#storeRoutes.setPeers(this.#listPeers());
    }

    #listPeers(): peerQuestions.AskedPeer[] {
        const capacities = this.#listPeerCapacities();
        return [...this.#directory.peers.values()].map(({ node, address, capacity }) => ({
            node,
            address,
            large: scheduling.isLargeProcess(capacity, capacities),
        }));
    }

    #listPeerCapacities(): jobState.ProcessCapacity[] {
        return [...this.#directory.peers.values()].map(({ capacity }) => capacity);
    }

    /** Asks a peer whether it coordinates; `undefined` when its address isn't known. */
    async #probeCoordinator(node: string): Promise<store.ProbeResult | undefined> {
        const peer = this.#directory.peers.get(node);
        return peer === undefined ? undefined : store.probeCoordinator(this.#httpClient, peer.address);
    }

    /** Reports jobs to the coordinator; returns its node, or `undefined` when they didn't reach it. */
    async #reportUnstoredJobs(jobs: readonly jobState.Job[]): Promise<string | undefined> {
        if (this.#coordinator !== undefined) {
            this.#coordinator.recordUnstored(jobs);
            return this.settings.node;
        }
        const peer = this.#directory.peers.get(this.#leaderElection.newestLeadership?.node ?? "");
        const encoded = jobState.encodeUnstoredJobs(jobs);
        return peer !== undefined && await store.reportUnstoredJobs(this.#httpClient, peer.address, encoded)
            ? peer.node
            : undefined;
    }

    /** Passes a request for an explanation on to the coordinator; `undefined` if it gives no answer. */
    async #forwardExplanation(encoded: Uint8Array): Promise<store.RelayResponse | undefined> {
        const peer = this.#directory.peers.get(this.#leaderElection.newestLeadership?.node ?? "");
        return peer === undefined ? undefined : store.forwardExplanation(this.#httpClient, peer.address, encoded);
    }

    /** Whether this process coordinates and the store serves it. */
    #isCoordinating(): boolean {
        return this.#leaderElection.leading && this.#clock.wall() - this.#store.lastSuccess < coordinatorStoreTimeout;
    }

    /** Serves the relay for peers, and publishes its address to them. */
    async #startRelay(): Promise<void> {
        const relay = store.createRelay({
            storeAddress: this.settings.storeAddress,
            httpClient: this.#httpClient,
            routes: this.#storeRoutes,
            log: this.log,
            now: () => this.#clock.wall(),
            isCoordinating: () => this.#isCoordinating(),
            receiveUnstoredJobs: encoded => {
                this.#coordinator?.recordUnstored(jobState.decodeUnstoredJobs(encoded));
                return this.#coordinator !== undefined;
            },
            createServer: (maxBodyBytes, handle) =>
                this.#guard.createServer(requestGuard.guardLimits.Port.relay, () => maxBodyBytes, handle),
            readBody: (message, maxBytes) => this.#guard.readBody(message, maxBytes),
            explain: (encoded, forwarded) => this.#explanations.answer(encoded, forwarded),
            answerQuestion: encoded => this.#answerQuestion(encoded),
        });
        const port = this.settings.internalPorts[1];
        relay.on("error", error => this.log.warn("relay-unavailable", { port, error: String(error) }));
        relay.keepAliveTimeout = keepAliveTimeout;
        this.#guard.listen(relay, requestGuard.guardLimits.Port.relay, this.settings.ip, port);
        await this.#directory.start();
    }

    /** Answers an encoded question of a peer; `undefined` if it can't be read. */
    async #answerQuestion(encoded: Uint8Array): Promise<Uint8Array | undefined> {
        const question = jobState.decodeQuestion(encoded);
        if (question === undefined) {
            return undefined;
        }
        const answer = await this.#questionAnswerer.answer(question);
        this.#metrics.countPeerQuestion(answer.kind);
        return jobState.encodeQuestionAnswer(answer);
    }

    #applyLedger(record: platform.storeCalls.KeyedRecord): void {
        // A coordinator applies progress itself, before it writes it to the ledger.
        const isOwnProgress = this.#coordinator !== undefined && jobState.isProgressKey(record.key);
        const decoded = isOwnProgress ? undefined : jobState.decodeLedger(record.key, record.value);
        this.#leaderElection.applyRecord(decoded);
        if (decoded?.kind === "leadership") {
            this.#leadershipReadAt = this.#clock.monotonic();
        }
        if (decoded?.kind === "machine") {
            // `tenure`: time in ms for which the coordinator of the epoch had coordinated when it gave the order.
            const { epoch, tenure } = decoded;
            this.#machineOrders.set(decoded.id, { epoch, tenure, readAt: this.#clock.monotonic() });
        }
        if (decoded?.kind === "wave") {
            this.#waveProgress.set(decoded.number, decoded.wave);
        }
        if (decoded?.kind === "server") {
            this.#applyServerBoot(decoded.id, decoded.boot);
        }
        if (decoded?.kind === "progress") {
            this.#jobs.applyProgress(decoded.id, decoded.progress);
        }
        if (decoded?.kind === "part") {
            this.#jobs.applyPart(decoded.id, decoded.key, decoded.part);
        }
    }

    #applyServerBoot(id: string, boot: jobState.ServerBoot | undefined): void {
        if (boot === undefined) {
            this.#serverBoots.delete(id);
        }
        else {
            this.#serverBoots.set(id, boot);
        }
    }

    /** Clears what was read from the ledger; a coordinator keeps its own progress, which is newer. */
    #clearLedger(): void {
        this.#serverBoots.clear();
        if (this.#coordinator === undefined) {
            this.#jobs.clearProgress();
        }
    }

    #applyOperator(record: platform.storeCalls.KeyedRecord): void {
        const decoded = platform.operatorRecords.decodeOperatorRecord(record);
        if (decoded === undefined) {
            this.log.warn("operator-record-unreadable", { key: record.key });
            return;
        }
        if (decoded.kind === "invalid-configuration") {
            const { version, reason } = decoded;
            this.log.warn("configuration-rejected", { version, reason, inForce: this.#configuration?.version });
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
                organisations: decoded.configuration.organisations.length,
            });
            this.#configuration = decoded.configuration;
            const { organisations } = decoded.configuration;
            this.#committedRates.setWeights(new Map(organisations.map(({ name, weight }) => [name, weight])));
            this.#coordinator?.applyConfiguration(decoded.configuration);
        }
    }

    /** Starts coordinating after a won election, once all submissions and the whole ledger have been read. */
    async #takeOver(claim: dispatch.Claim, previous: jobState.Leadership | undefined): Promise<void> {
        const { epoch } = claim;
        const claimedAt = this.#ledger.nextOffset;
        // The coordinator ignores the ledger's progress from its creation on, so nothing is awaited after the ledger.
        while (!await this.#submissions.catchUp() || !await this.#ledger.catchUp()) {
            if (this.#isTakeoverAbandoned(epoch)) {
                return;
            }
            await timers.setTimeout(takeoverRetryDelay);
        }
        if (this.#isTakeoverAbandoned(epoch)) {
            return;
        }
        this.log.info("taking-over", { epoch, claimedAt, ledger: this.#ledger.nextOffset });
        this.#coordinatingSince = this.#clock.monotonic();
        this.#coordinator = new dispatch.Coordinator({
            settings: this.settings,
            claim,
            processStart: this.#processStart,
            runLimits,
            store: this.#store,
            calls: this.#httpClient,
            serverCalls: this.#serverClient,
            jobs: this.#jobs,
            log: this.log,
            clock: this.#clock,
            configuration: () => this.#configuration,
            waves: this.#waves,
            waveProgress: this.#waveProgress,
            earlierOrderTimes: this.#findOrderTimes(previous),
            serverBoots: this.#serverBoots,
            onStepDown: () => this.#stepDown(),
            observeDuration: (activity, duration) => this.#metrics.observeCoordinator(activity, duration),
            observeOrganisations: states => this.#metrics.observeOrganisations(states),
            observeRestart: delay => this.#metrics.observeRestart(delay),
        });
        await this.#coordinator.start();
    }

    #isTakeoverAbandoned(epoch: number): boolean {
        const abandoned = this.#shuttingDown || this.#leaderElection.newestLeadership?.epoch !== epoch;
        if (abandoned) {
            this.log.warn("takeover-abandoned", {
                epoch,
                reason: "shutting down or superseded before the coordinator was created",
            });
            this.#leaderElection.leading = false;
        }
        return abandoned;
    }

    /** Latest monotonic time in ms at which each machine can have been ordered by an earlier coordinator. */
    #findOrderTimes(previous: jobState.Leadership | undefined): Map<string, number> {
        const now = this.#clock.monotonic();
        return new Map(
            [...this.#machineOrders].map((
                [machine, order],
            ) => [machine, dispatch.findLatestOrderTime(order, previous, now)]),
        );
    }

    #stepDown(): void {
        this.#metrics.observeOrganisations([]); // Another process reports them.
        this.#coordinator = undefined;
        this.#leaderElection.leading = false;
        // Reads the progress records that were ignored while this process coordinated.
        this.#ledger.requestReload();
    }
}

function formatAddress(server: http.Server): string {
    const address = server.address() as net.AddressInfo;
    return `${address.address}:${address.port}`;
}
