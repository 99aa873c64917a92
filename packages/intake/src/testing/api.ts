/** Serves a JobApi on a loopback port for one request. */
import * as eventLog from "@catkinwharf/event-log";
import * as jobState from "@catkinwharf/job-state";
import type * as platform from "@catkinwharf/platform";
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as intake from "../index.js";

export const route: platform.operatorRecords.Route = {
    name: "quotes",
    host: "queues.test",
    pathPrefix: "/quotes/",
    service: "dispatch",
    priority: 0,
    maxAttempts: 1,
    slackFactor: 1,
    latencyAllowance: 0,
    timeout: 400,
    advice: undefined,
    isPublic: false,
};

export function createConfiguration(
    overrides: Partial<platform.operatorRecords.Configuration> = {},
): platform.operatorRecords.Configuration {
    return { version: 1, routes: [route], services: [], organisations: [], maxBodyBytes: 1000, ...overrides };
}

/** Options of an API of a process that isn't behind, whose writer stores everything. */
export function createOptions(overrides: Partial<intake.JobApiOptions> = {}): intake.JobApiOptions {
    return {
        jobs: new jobState.JobTable(),
        storeLimits: { appendSize: 2000, recordSize: 900 },
        largestGang: 1000,
        writer: { write: () => Promise.resolve("stored") } as unknown as intake.SubmissionWriter,
        log: eventLog.silentEventLog,
        monotonicNow: () => performance.now(),
        now: () => Date.now(),
        configuration: () => createConfiguration(),
        refreshJobs: () => Promise.resolve(true),
        refreshProgress: () => Promise.resolve(true),
        hasRead: () => true,
        askPeers: () => Promise.resolve(undefined),
        refreshConfiguration: () => Promise.resolve(true),
        maxConfigurationAge: 2000,
        requiresKeys: false,
        maxKeyAge: undefined,
        isStoreUnavailable: () => false,
        measureDataAge: () => ({ submissionsAge: 0, progressAge: 0, configurationAge: 0 }),
        isReady: () => true,
        isShuttingDown: () => false,
        startDelay: () => 0,
        shedder: { findRefusal: () => undefined },
        random: () => 0,
        onUnstored: () => undefined,
        count: () => undefined,
        countRefusal: () => undefined,
        ...overrides,
    };
}

export interface Sent {
    readonly method: string;
    readonly path: string;
    readonly headers?: http.OutgoingHttpHeaders;
    readonly body?: string;
    /** Called before the last byte of the body is sent. */
    readonly beforeLastByte?: () => Promise<void>;
}

export interface Received {
    readonly status: number;
    readonly body: string;
    readonly headers: http.IncomingHttpHeaders;
}

/** Sends a request to an API with these options, for the host of `route`. */
export async function send(options: intake.JobApiOptions, sent: Sent): Promise<Received> {
    const app = new intake.JobApi(options).createApp();
    const server = http.createServer((message, response) =>
        app.handler(message as never, response, undefined as never)
    );
    const port = await testUtils.listen(server, 0);
    try {
        return await new Promise((resolve, reject) => {
            const { method, path, body = "", beforeLastByte } = sent;
            const headers = { host: route.host, "content-length": body.length, ...sent.headers };
            const request = http.request({ method, host: testUtils.loopbackHost, port, path, headers }, response => {
                let received = "";
                response.on("data", data => received += data);
                response.on(
                    "end",
                    () => resolve({ status: response.statusCode!, body: received, headers: response.headers }),
                );
            });
            request.on("error", reject);
            if (beforeLastByte === undefined) {
                request.end(body);
                return;
            }
            request.write(body.slice(0, -1));
            void beforeLastByte().then(() => request.end(body.slice(-1)));
        });
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
}
