/**
 * Sends requests to a service of the platform, one at a time, and validates the responses.
 */
import type * as errors from "@catkinwharf/errors";
import * as neverthrow from "neverthrow";
import * as pQueue from "p-queue";
import * as connection from "./connection.js";
import * as responses from "./responses.js";
import type * as trafficMeter from "./traffic-meter.js";

export interface ServiceClientOptions {
    /** URL of the service. */
    readonly url: string;
    /** Time until the response must be complete, in ms. */
    readonly timeoutMs: number;
    /** Source IP address. */
    readonly localAddress?: string;
    /** Called with the connection's bytes after each request. */
    readonly onBytes?: trafficMeter.TrafficListener;
}

/** A request with the validator of its response. */
export interface ValidatedRequest<Message> {
    readonly method: connection.HttpRequest["method"];
    readonly path: string;
    readonly body?: unknown;
    readonly validate: responses.Validator<Message>;
}

/** Client of one service. All requests share one connection and are queued. */
export class ServiceClient {
    private readonly connection: connection.Connection;
    private readonly queue = new pQueue.default({ concurrency: 1 });

    constructor(private readonly options: ServiceClientOptions) {
        this.connection = new connection.Connection({ ...options, connectTimeoutMs: options.timeoutMs });
    }

    /** Sends a request without retries and returns the response, whatever its status. */
    send(request: Omit<connection.HttpRequest, "timeoutMs">): Promise<
        neverthrow.Result<connection.HttpResponse, errors.PlatformError>
    > {
        return this.queue.add(() => this.connection.send({ ...request, timeoutMs: this.options.timeoutMs }));
    }

    /** Sends a request without retries and validates the response. */
    async sendValidated<Message>(
        request: ValidatedRequest<Message>,
    ): Promise<neverthrow.Result<Message, errors.PlatformError>> {
        const { method, path, body } = request;
        const outcome = await this.send({ method, path, body });
        return outcome.andThen(response => responses.parseMessage(response, request.validate));
    }

    /** Closes the connection. */
    close(): void {
        this.connection.reset();
    }
}
