/**
 * Typed client of the operator ports. Reads are retried, at the next entry instance if several are named; changes are
 * sent once.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import * as change from "./change.js";
import * as commandError from "./command-error.js";
import * as connection from "./connection.js";
import * as problem from "./problem.js";
import * as transport from "./transport.js";

/** Outcome of a read. */
export type Read<Document> = Promise<neverthrow.Result<Document, commandError.CommandError>>;

/** Waits for a time in ms. */
export type Sleep = (durationMs: number) => Promise<void>;

type Exchanged = neverthrow.Result<transport.Answer, transport.TransportError>;

type Check<Document> = ((document: unknown) => document is Document) & {
    errors?: Parameters<typeof schema.describeFailure>[0];
};

const readAttempts = 3;
/** Within which a part of a read's answer has to come, in ms. */
const readTimeoutMs = 5_000;
const firstPauseMs = 200;
const notReadyStatus = 503;

/** Speaks to the operator ports of one fleet. */
export class OperatorClient {
    readonly #agent = transport.createAgent();

    constructor(private readonly target: connection.Connection, private readonly sleep: Sleep) {}

    readStatus(): Read<schema.operator.StatusAnswer> {
        return this.#read("/operator/status", schema.validators.operatorStatusAnswer);
    }

    readConfiguration(): Read<schema.operator.ConfigurationAnswer> {
        return this.#read("/operator/configuration", schema.validators.operatorConfigurationAnswer);
    }

    readProfiles(): Read<schema.operator.ProfilesAnswer> {
        return this.#read("/operator/profiles", schema.validators.operatorProfilesAnswer);
    }

    readMoves(): Read<schema.operator.MovesAnswer> {
        return this.#read("/operator/moves", schema.validators.operatorMovesAnswer);
    }

    /** Why the subject is where it is; `collection` is the last part but one of the path. */
    explain(collection: string, name: string): Read<schema.operator.ExplainAnswer> {
        const path = `/operator/explain/${collection}/${encodeURIComponent(name)}`;
        return this.#read(path, schema.validators.operatorExplainAnswer);
    }

    /** Records from the offset on, at most `limit`. */
    readLog(from: number, limit: number): Read<schema.operator.LogAnswer> {
        return this.#read(`/operator/log?from=${from}&limit=${limit}`, schema.validators.operatorLogAnswer);
    }

    /**
     * Sends a change once. Only when no byte of it was sent, or the entry instance is not ready and so appends
     * nothing, the next entry instance is asked.
     */
    async send(wanted: change.Change): Read<schema.operator.ChangeAnswer> {
        for (let attempt = 0;; attempt += 1) {
            const exchanged = await transport.exchange(this.#agent, this.#endpoint(attempt), wanted.question);
            if (attempt + 1 >= this.target.urls.length || !isWithoutEffect(exchanged)) {
                return change.judgeChange(wanted, exchanged);
            }
        }
    }

    /** Ends the connections. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #read<Document>(path: string, check: Check<Document>): Read<Document> {
        const question: transport.Question = { method: "GET", path, answerTimeoutMs: readTimeoutMs };
        const attempts = Math.max(readAttempts, this.target.urls.length);
        for (let attempt = 0;; attempt += 1) {
            const exchanged = await transport.exchange(this.#agent, this.#endpoint(attempt), question);
            if (attempt + 1 === attempts || !isWorthRetrying(exchanged)) {
                return judgeRead(exchanged, check);
            }
            await this.sleep(firstPauseMs * 2 ** attempt);
        }
    }

    /** Each attempt goes to the next entry instance. */
    #endpoint(attempt: number): transport.Endpoint {
        const url = this.target.urls[attempt % this.target.urls.length] as URL;
        return { url, operatorKey: this.target.operatorKey };
    }
}

function isWorthRetrying(exchanged: Exchanged): boolean {
    return exchanged.match(answer => answer.status === notReadyStatus, () => true);
}

function isWithoutEffect(exchanged: Exchanged): boolean {
    return exchanged.match(
        answer => answer.status === notReadyStatus,
        error => error.fault === transport.TransportFault.unsent,
    );
}

function judgeRead<Document>(
    exchanged: Exchanged,
    check: Check<Document>,
): neverthrow.Result<Document, commandError.CommandError> {
    return exchanged
        .mapErr(error => problem.createUnreachable(error.reason))
        .andThen(answer => {
            if (answer.status !== 200) {
                return neverthrow.err(problem.createRefusal(answer));
            }
            if (check(answer.document)) {
                return neverthrow.ok(answer.document);
            }
            const place = schema.describeFailure(check.errors);
            return neverthrow.err(problem.createUnreachable(`its answer does not follow the schema: ${place}`));
        });
}
