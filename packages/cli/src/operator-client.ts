/**
 * Typed client of an entry instance's operator port. Reads are retried; changes are sent once.
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

type Check<Document> = ((document: unknown) => document is Document) & {
    errors?: Parameters<typeof schema.describeFailure>[0];
};

const readAttempts = 3;
const firstPauseMs = 200;
const notReadyStatus = 503;

/** Speaks to one operator port. */
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

    /** Sends a change once. */
    async send(wanted: change.Change): Read<schema.operator.ChangeAnswer> {
        return change.judgeChange(wanted, await transport.exchange(this.#agent, this.target, wanted.question));
    }

    /** Ends the connections. */
    close(): Promise<void> {
        return this.#agent.destroy();
    }

    async #read<Document>(path: string, check: Check<Document>): Read<Document> {
        for (let attempt = 1;; attempt += 1) {
            const exchanged = await transport.exchange(this.#agent, this.target, { method: "GET", path });
            if (attempt === readAttempts || !isWorthRetrying(exchanged)) {
                return judgeRead(exchanged, check);
            }
            await this.sleep(firstPauseMs * 2 ** (attempt - 1));
        }
    }
}

function isWorthRetrying(exchanged: neverthrow.Result<transport.Answer, transport.TransportError>): boolean {
    return exchanged.match(answer => answer.status === notReadyStatus, () => true);
}

function judgeRead<Document>(
    exchanged: neverthrow.Result<transport.Answer, transport.TransportError>,
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
