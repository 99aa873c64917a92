/**
 * HTTP port for operators: health, metrics, and the API for the command line.
 */
import * as errors from "@catkinwharf/errors";
import * as logger from "@catkinwharf/logger";
import * as requestBody from "@catkinwharf/request-body";
import * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as polka from "polka";
import * as httpServer from "./http-server.js";
import * as metrics from "./metrics.js";
import * as operatorChanges from "./operator-changes.js";
import * as operatorViews from "./operator-views.js";

/** Limit on the size of an operator's request body. */
const maxBodyBytes = 1_048_576;

export interface OperatorPortOptions {
    readonly operatorKey: string;
    readonly metrics: metrics.Metrics;
    readonly logger: logger.Logger;
    readonly changes: operatorChanges.OperatorChanges;
    readonly views: operatorViews.OperatorViews;
    isReady(): boolean;
}

type ChangeHandler = (document: unknown) => Promise<schema.operator.ChangeAnswer>;

const changeStatuses: Readonly<Record<schema.operator.ChangeAnswer["status"], number>> = {
    accepted: 200,
    conflict: 409,
    invalid: 422,
    unknown: 202,
    unavailable: 503,
};

export class OperatorPort {
    readonly #options: OperatorPortOptions;
    readonly #server: http.Server;

    constructor(options: OperatorPortOptions) {
        this.#options = options;
        this.#server = http.createServer();
        httpServer.refuseMalformedInput(this.#server, [], () => this.#options.metrics.count("bad_input", "operators"));
        const app = polka.default({
            server: this.#server,
            onError: (error, _message, response) => this.#fail(error, response as http.ServerResponse),
            onNoMatch: (_message, response) =>
                httpServer.sendJson(response as unknown as http.ServerResponse, 404, { reason: "no such path" }),
        });
        app.use((message, response, next) => this.#checkPath(message.path, response, next));
        this.#addPublicRoutes(app);
        this.#addViewRoutes(app);
        this.#addChangeRoutes(app);
        this.#server.on("request", app.handler as unknown as http.RequestListener);
    }

    listen(listener: schema.settings.Listener): Promise<number> {
        return httpServer.listen(this.#server, listener);
    }

    close(): Promise<void> {
        this.#server.closeAllConnections();
        return httpServer.closeServer(this.#server);
    }

    #checkPath(path: string, response: http.ServerResponse, next: () => void): void {
        if (httpServer.decodePath(path) !== undefined) {
            next();
            return;
        }
        this.#options.metrics.count("bad_input", "operators");
        httpServer.sendJson(response, 400, { reason: "the path is malformed" });
    }

    #addPublicRoutes(app: polka.Polka): void {
        app.get("/healthz", (_message, response) => httpServer.sendJson(response, 200, { status: "alive" }));
        app.get("/readyz", (_message, response) => {
            const ready = this.#options.isReady();
            httpServer.sendJson(response, ready ? 200 : 503, { ready });
        });
        app.get("/metrics", (_message, response) => {
            void this.#options.metrics.render().then(text => httpServer.sendText(response, 200, "text/plain", text));
        });
    }

    #addViewRoutes(app: polka.Polka): void {
        const views = this.#options.views;
        this.#addView(app, "/operator/status", () => views.describeStatus());
        this.#addView(app, "/operator/configuration", () => views.describeConfiguration());
        this.#addView(app, "/operator/profiles", () => views.listProfiles());
        this.#addView(app, "/operator/moves", () => views.listMoves());
        this.#addView(app, "/operator/log", message => views.listLog(message.query));
        this.#addView(app, "/operator/explain/instances/:name", message => views.explainInstance(readName(message)));
        this.#addView(app, "/operator/explain/stops/:name", message => views.explainStop(readName(message)));
        this.#addView(app, "/operator/explain/requests/:name", message => views.explainRequest(readName(message)));
    }

    #addView(app: polka.Polka, path: string, view: (message: polka.Request) => unknown): void {
        app.get(path, (message, response) => {
            if (!this.#authorize(message, response)) {
                return;
            }
            void Promise.resolve(view(message as unknown as polka.Request)).then(document =>
                document === undefined
                    ? httpServer.sendJson(response, 404, { reason: "no such subject" })
                    : httpServer.sendJson(response, 200, document)
            ).catch((error: unknown) => this.#fail(error, response));
        });
    }

    #addChangeRoutes(app: polka.Polka): void {
        const changes = this.#options.changes;
        const routes: Readonly<Record<string, ChangeHandler>> = {
            "/operator/profiles": document => changes.publishProfile(document),
            "/operator/configurations": document => changes.publishConfiguration(document),
            "/operator/stops": document => changes.announceStop(document),
        };
        for (const [path, handler] of Object.entries(routes)) {
            app.post(path, (message, response) => this.#serveChange(message, response, handler));
        }
        app.delete("/operator/stops/:name", (message, response) => {
            const name = readName(message as unknown as polka.Request);
            this.#serveChange(message, response, () => changes.cancelStop(name));
        });
    }

    #serveChange(message: http.IncomingMessage, response: http.ServerResponse, handler: ChangeHandler): void {
        this.#change(message, response, handler).catch((error: unknown) => this.#fail(error, response));
    }

    async #change(message: http.IncomingMessage, response: http.ServerResponse, handler: ChangeHandler): Promise<void> {
        if (!this.#authorize(message, response)) {
            return;
        }
        const body = await requestBody.readBody(message, maxBodyBytes);
        const document = typeof body === "string" ? undefined : parseJson(body);
        if (document === undefined) {
            this.#options.metrics.count("bad_input", "operators");
            httpServer.sendJson(response, 422, operatorChanges.createInvalid("the body is not JSON"));
            return;
        }
        const answer = await handler(document);
        this.#options.metrics.count("operator_calls", answer.status);
        httpServer.sendJson(response, changeStatuses[answer.status], answer);
    }

    #authorize(message: http.IncomingMessage, response: http.ServerResponse): boolean {
        const expected = hashText(`Bearer ${this.#options.operatorKey}`);
        const given = hashText(message.headers.authorization ?? "");
        if (crypto.timingSafeEqual(expected, given)) {
            return true;
        }
        this.#options.metrics.count("bad_input", "operator-key");
        httpServer.sendJson(response, 401, { reason: "the operator key is missing or wrong" });
        return false;
    }

    #fail(error: unknown, response: http.ServerResponse): void {
        this.#options.logger.error(`An operator's call failed: ${errors.getErrorMessage(error)}.`);
        httpServer.sendJson(response, 500, { reason: "internal error" });
    }
}

function hashText(text: string): Buffer {
    return crypto.createHash("sha256").update(text).digest();
}

function readName(message: polka.Request): string {
    return httpServer.decodePath(message.params["name"] ?? "") ?? "";
}

function parseJson(body: Buffer): unknown {
    if (body.byteLength === 0) {
        return {};
    }
    try {
        return JSON.parse(body.toString("utf8")) ?? undefined;
    }
    catch {
        return undefined;
    }
}
