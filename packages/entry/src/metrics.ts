/**
 * Metrics of the entry process, exported in the Prometheus exposition format.
 */
import * as promClient from "prom-client";

/** Help text of each counter, by its name; docs/operations/metrics.md lists the same counters. */
export const counterTable = {
    requests: "Requests by outcome, with the reason where they were not answered.",
    retries: "Attempts after the first, by the reason of the attempt before.",
    retry_refusals: "Retries that were not made, by reason.",
    server_faults: "Faults of backend servers, by kind.",
    fence_changes: "Changes of the permission to dispatch, by the new permission.",
    session_events: "Openings, losses and closings of sessions.",
    ignored_records: "Own records that the fold ignored, by reason.",
    lease_events: "Changes of the coordinator lease as seen here.",
    decisions: "Records that this coordinator appended, by kind.",
    handovers: "Requests handed to peers, by outcome.",
    key_events: "Idempotency keys, by what became of them.",
    platform_events: "Retries and faults towards the platform.",
    peer_events: "Faults and refusals on peer connections.",
    bad_input: "Input that was refused as malformed, by port.",
    operator_calls: "Changes asked for by operators, by result.",
    relays: "Log records exchanged between peers, by direction.",
} as const;

export type CounterName = keyof typeof counterTable;

const durationBucketsSeconds = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];

/** Interval in ms between samples of the event loop's delay; each sample wakes the process. */
const eventLoopPrecisionMs = 100;

/** Receives counts from a lower layer. */
export interface CounterSink {
    count(event: string, reason: string): void;
    addBytes(direction: string, bytes: number): void;
}

/** A gauge, whose value is read when metrics are collected. */
export interface GaugeSource {
    readonly name: string;
    readonly help: string;
    read(): number;
}

export class Metrics {
    readonly #registry = new promClient.Registry();
    readonly #counters: ReadonlyMap<CounterName, promClient.Counter<"reason">>;
    readonly #durations: promClient.Histogram<"outcome">;
    readonly #traffic: promClient.Counter<"path" | "direction">;

    constructor() {
        this.#counters = new Map(
            (Object.keys(counterTable) as CounterName[]).map(name => [
                name,
                new promClient.Counter({
                    name: `catkinwharf_${name}_total`,
                    help: counterTable[name],
                    labelNames: ["reason"],
                    registers: [this.#registry],
                }),
            ]),
        );
        this.#durations = new promClient.Histogram({
            name: "catkinwharf_request_seconds",
            help: "Time from a request's arrival to its response.",
            labelNames: ["outcome"],
            buckets: durationBucketsSeconds,
            registers: [this.#registry],
        });
        this.#traffic = new promClient.Counter({
            name: "catkinwharf_traffic_bytes_total",
            help: "Bytes of connections to peers and to the platform, by direction.",
            labelNames: ["path", "direction"],
            registers: [this.#registry],
        });
        promClient.collectDefaultMetrics({
            register: this.#registry,
            eventLoopMonitoringPrecision: eventLoopPrecisionMs,
        });
    }

    count(name: CounterName, reason: string): void {
        this.#counters.get(name)?.inc({ reason });
    }

    /** Counts bytes sent or received on `path`. */
    addBytes(path: string, direction: string, bytes: number): void {
        this.#traffic.inc({ path, direction }, bytes);
    }

    /** Creates a sink for a lower layer: its events and reasons form the label, and its bytes count under `path`. */
    createSink(name: CounterName, path: string): CounterSink {
        return {
            count: (event, reason) => this.count(name, `${event}:${reason}`),
            addBytes: (direction, bytes) => this.addBytes(path, direction, bytes),
        };
    }

    observeDuration(outcome: string, milliseconds: number): void {
        this.#durations.observe({ outcome }, milliseconds / 1000);
    }

    addGauge(source: GaugeSource): void {
        new promClient.Gauge({
            name: `catkinwharf_${source.name}`,
            help: source.help,
            registers: [this.#registry],
            collect() {
                this.set(source.read());
            },
        });
    }

    /** Returns all metrics in the exposition format. */
    render(): Promise<string> {
        return this.#registry.metrics();
    }
}
