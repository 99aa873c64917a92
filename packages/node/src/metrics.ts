/**
 * Prometheus metrics of a process.
 */
import type * as dispatch from "@catkinwharf/dispatch";
import type * as eventLog from "@catkinwharf/event-log";
import type * as jobState from "@catkinwharf/job-state";
import type * as store from "@catkinwharf/store";
import type * as http from "node:http";
import * as promClient from "prom-client";
import type * as peerQuestions from "./peer-questions.js";

/** Bucket boundaries in seconds of the histogram of response times. */
const durationBuckets = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4];
/** A restart takes from some 100 ms to twice the longest lease. */
const restartBuckets = [0.25, 0.5, 1, 2, 3, 4, 5, 6, 8, 10, 12, 16, 24];

export class Metrics {
    readonly registry = new promClient.Registry();
    readonly #requests = new promClient.Counter({
        name: "catkinwharf_requests_total",
        help: "Answered requests of callers.",
        labelNames: ["method", "status"] as const,
        registers: [this.registry],
    });
    readonly #durations = new promClient.Histogram({
        name: "catkinwharf_request_duration_seconds",
        help: "Time from a caller's request to its answer.",
        labelNames: ["method"] as const,
        buckets: durationBuckets,
        registers: [this.registry],
    });

    readonly #coordinatorDurations = new promClient.Histogram({
        name: "catkinwharf_coordinator_duration_seconds",
        help: "Time that the coordinator's activities take: timer delays, placement passes, storing intents, starts.",
        labelNames: ["activity"] as const,
        buckets: durationBuckets,
        registers: [this.registry],
    });

    readonly #restartDelays = new promClient.Histogram({
        name: "catkinwharf_restart_delay_seconds",
        help: "Time from the last list of a server that was lost to the confirmed next start of each of its tasks.",
        buckets: restartBuckets,
        registers: [this.registry],
    });

    readonly #refusals = new promClient.Counter({
        name: "catkinwharf_refusals_total",
        help: "Requests that weren't carried out, by the reason in their log line and the caller's organisation.",
        labelNames: ["reason", "organisation"] as const,
        registers: [this.registry],
    });

    readonly #questions = new promClient.Counter({
        name: "catkinwharf_questions_passed_on_total",
        help: "Questions of callers about jobs that this process passed on to peers, by outcome.",
        labelNames: ["outcome"] as const,
        registers: [this.registry],
    });

    readonly #peerQuestions = new promClient.Counter({
        name: "catkinwharf_peer_questions_total",
        help: "Questions that peers passed on to this process, by the kind of its answer.",
        labelNames: ["answer"] as const,
        registers: [this.registry],
    });

    readonly #organisationTasks = new promClient.Gauge({
        name: "catkinwharf_organisation_tasks",
        help: "Tasks by organisation, service and state: running, waiting, and of the waiting ones those beyond the"
            + " committed rate, over the quota, or late. Only the coordinator has them.",
        labelNames: ["organisation", "service", "state"] as const,
        registers: [this.registry],
    });

    readonly #organisationShares = new promClient.Gauge({
        name: "catkinwharf_organisation_share",
        help: "Largest part of the capacity that an organisation has running, in any resource, divided by its weight.",
        labelNames: ["organisation"] as const,
        registers: [this.registry],
    });

    /** Exposes the number of log events by name, including events whose lines were dropped. */
    watchEvents(log: eventLog.EventLog): void {
        const events = new promClient.Counter({
            name: "catkinwharf_events_total",
            help: "Decisions and changes of belief, by the name of their log line.",
            labelNames: ["event"] as const,
            registers: [this.registry],
            collect: () => {
                events.reset();
                log.counts.forEach((count, event) => events.inc({ event }, count));
            },
        });
    }

    /** Exposes the reads of the store, and the bytes of their responses, by topic. */
    watchReads(reads: store.ReadMeter): void {
        const calls = new promClient.Counter({
            name: "catkinwharf_store_reads_total",
            help: "Reads of the store by topic and outcome: answered, or failed and repeated.",
            labelNames: ["topic", "outcome"] as const,
            registers: [this.registry],
            collect: () => {
                calls.reset();
                reads.totals.forEach(({ answered, failed }, topic) => {
                    calls.inc({ topic, outcome: "answered" }, answered);
                    calls.inc({ topic, outcome: "failed" }, failed);
                });
            },
        });
        const bytes = new promClient.Counter({
            name: "catkinwharf_store_read_bytes_total",
            help: "Bytes of the store's responses to reads, by topic.",
            labelNames: ["topic"] as const,
            registers: [this.registry],
            collect: () => {
                bytes.reset();
                reads.totals.forEach((counts, topic) => bytes.inc({ topic }, counts.bytes));
            },
        });
    }

    /** Exposes the connections that were closed early, by reason. */
    watchClosed(closed: ReadonlyMap<string, number>): void {
        const connections = new promClient.Counter({
            name: "catkinwharf_connections_closed_total",
            help: "Connections of clients that were closed early, by the limit that they exceeded.",
            labelNames: ["reason"] as const,
            registers: [this.registry],
            collect: () => {
                connections.reset();
                closed.forEach((count, reason) => connections.inc({ reason }, count));
            },
        });
    }

    /** @param duration time in ms from the request to its response */
    countRequest(method: string, status: string, duration: number): void {
        this.#requests.inc({ method, status });
        this.#durations.observe({ method }, duration / 1000);
    }

    /** @param organisation `undefined` if the request belongs to none, or its key wasn't accepted */
    countRefusal(reason: string, organisation: string | undefined): void {
        this.#refusals.inc({ reason, organisation: organisation ?? "" });
    }

    countQuestion(outcome: peerQuestions.QuestionOutcome): void {
        this.#questions.inc({ outcome });
    }

    countPeerQuestion(answer: jobState.QuestionAnswer["kind"]): void {
        this.#peerQuestions.inc({ answer });
    }

    /** Replaces what the organisations have waiting and running; empty while this process doesn't coordinate. */
    observeOrganisations(states: readonly dispatch.OrganisationState[]): void {
        this.#organisationTasks.reset();
        this.#organisationShares.reset();
        for (const { organisation, service, share, ...counts } of states) {
            const set = (state: string, count: number) =>
                this.#organisationTasks.set({ organisation, service, state }, count);
            set("waiting", counts.waitingTasks);
            set("running", counts.runningTasks);
            set("beyond-rate", counts.beyondRateTasks);
            set("over-quota", counts.overQuotaTasks);
            set("late", counts.lateTasks);
            this.#organisationShares.set({ organisation }, share);
        }
    }

    /** @param duration time in ms that the coordinator's activity took */
    observeCoordinator(activity: string, duration: number): void {
        this.#coordinatorDurations.observe({ activity }, duration / 1000);
    }

    /** @param delay time in ms that a task of a lost server waited for its next start */
    observeRestart(delay: number): void {
        this.#restartDelays.observe(delay / 1000);
    }

    /**
     * Serves the metrics over HTTP in the Prometheus text format.
     *
     * @param createServer creates the server without starting to listen
     */
    serve(
        address: string,
        log: eventLog.EventLog,
        createServer: (handle: http.RequestListener) => http.Server,
    ): void {
        const [host, port] = address.split(":");
        const server = createServer((_message, response) => {
            void this.registry.metrics().then(text => {
                response.setHeader("content-type", this.registry.contentType);
                response.end(text);
            });
        });
        server.on("error", error => log.warn("metrics-unavailable", { address, error: String(error) }));
        server.listen(Number(port), host);
    }
}
