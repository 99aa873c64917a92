/**
 * Typed client for the operator ports. Failed reads are retried, at the next entry instance if several are configured.
 * A change is sent again only if it can't have taken effect.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as change from "./change.js";
import * as commandError from "./command-error.js";
import * as connection from "./connection.js";
import * as requestError from "./request-error.js";
import * as transport from "./transport.js";

/** Result of a read or a change. */
export type AsyncResult<Document> = Promise<neverthrow.Result<Document, commandError.CommandError>>;

/** Sleeps for a time in ms. */
export type Sleep = (durationMs: number) => Promise<void>;

type RequestResult = neverthrow.Result<transport.HttpResponse, transport.TransportError>;

type Validator<Document> = ((document: unknown) => document is Document) & {
    errors?: Parameters<typeof schema.describeFailure>[0];
};

const readAttempts = 3;
/** Response timeout of a read, in ms. */
const readTimeoutMs = 5_000;
const initialBackoffMs = 200;
const notReadyStatus = 503;

/** HTTP client for the operator ports of one fleet. */
export class OperatorClient {
    readonly #agent = transport.createAgent();

    constructor(private readonly target: connection.Connection, private readonly sleep: Sleep) {}

    readStatus(): AsyncResult<schema.operator.StatusAnswer> {
        return this.#read("/operator/status", schema.validators.operatorStatusAnswer);
    }

    readConfiguration(): AsyncResult<schema.operator.ConfigurationAnswer> {
        return this.#read("/operator/configuration", schema.validators.operatorConfigurationAnswer);
    }

    readProfiles(): AsyncResult<schema.operator.ProfilesAnswer> {
        return this.#read("/operator/profiles", schema.validators.operatorProfilesAnswer);
    }

    readMoves(): AsyncResult<schema.operator.MovesAnswer> {
        return this.#read("/operator/moves", schema.validators.operatorMovesAnswer);
    }

    /** Reads the explanation of an object's state; `collection` is the second-to-last segment of the path. */
    explain(collection: string, name: string): AsyncResult<schema.operator.ExplainAnswer> {
        const path = `/operator/explain/${collection}/${encodeURIComponent(name)}`;
        return this.#read(path, schema.validators.operatorExplainAnswer);
    }

    /** Reads at most `limit` records, starting at offset `from`. */
    readLog(from: number, limit: number): AsyncResult<schema.operator.LogAnswer> {
        return this.#read(`/operator/log?from=${from}&limit=${limit}`, schema.validators.operatorLogAnswer);
    }

    /**
     * Sends a change. It goes to the next entry instance only if it can't have taken effect: no byte of it was sent, or
     * the entry instance answered that it isn't ready, in which case it appends nothing.
     */
    async sendChange(requestedChange: change.Change): AsyncResult<schema.operator.ChangeAnswer> {
        for (let attempt = 0;; attempt += 1) {
            const result = await transport.sendRequest(
                this.#agent,
                this.#selectEndpoint(attempt),
                requestedChange.request,
            );
            if (attempt + 1 >= this.target.urls.length || !isWithoutEffect(result)) {
                return change.interpretChange(requestedChange, result);
            }
        }
    }

    /** Closes all connections and aborts pending requests. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #read<Document>(path: string, validate: Validator<Document>): AsyncResult<Document> {
        const request: transport.HttpRequest = { method: "GET", path, responseTimeoutMs: readTimeoutMs };
        const attempts = Math.max(readAttempts, this.target.urls.length);
        for (let attempt = 0;; attempt += 1) {
            const result = await transport.sendRequest(this.#agent, this.#selectEndpoint(attempt), request);
            if (attempt + 1 === attempts || !isRetryable(result)) {
                return interpretRead(result, validate);
            }
            await this.sleep(initialBackoffMs * 2 ** attempt);
        }
    }

    /** Rotates through the entry instances, one per attempt. */
    #selectEndpoint(attempt: number): transport.Endpoint {
        const url = this.target.urls[attempt % this.target.urls.length] as URL;
        return { url, operatorKey: this.target.operatorKey };
    }
}

function isRetryable(result: RequestResult): boolean {
    return result.match(response => response.status === notReadyStatus, () => true);
}

function isWithoutEffect(result: RequestResult): boolean {
    return result.match(
        response => response.status === notReadyStatus,
        error => error.fault === transport.TransportFault.unsent,
    );
}

function interpretRead<Document>(
    result: RequestResult,
    validate: Validator<Document>,
): neverthrow.Result<Document, commandError.CommandError> {
    return result
        .mapErr(error => requestError.createUnreachableError(error.reason))
        .andThen(response => {
            if (response.status !== 200) {
                return neverthrow.err(requestError.createRefusedError(response));
            }
            if (validate(response.document)) {
                return neverthrow.ok(response.document);
            }
            const location = schema.describeFailure(validate.errors);
            return neverthrow.err(
                requestError.createUnreachableError(`its answer does not follow the schema: ${location}`),
            );
        });
}
