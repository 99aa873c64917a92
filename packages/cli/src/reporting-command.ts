/**
 * Bases of all commands: output as text or JSON, errors on standard error, exit codes, and the connection.
 */
import * as errors from "@catkinwharf/errors";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";
import * as connection from "./connection.js";
import * as exitCode from "./exit-code.js";
import * as operatorClient from "./operator-client.js";

/** What a command gets from its process besides its arguments. */
export type CommandContext = clipanion.BaseContext & {
    /** Wall-clock time in ms since 1970. */
    readonly now: () => number;
    readonly sleep: operatorClient.Sleep;
    /** Aborted when the operator interrupts the command. */
    readonly signal: AbortSignal;
};

/** What a command prints: a document for `--json`, a text otherwise. */
export interface Report {
    readonly document: unknown;
    readonly text: string;
}

/** Result of a command; a command that has printed everything itself gives no report. */
export type CommandResult = neverthrow.Result<Report | undefined, commandError.CommandError>;

const keyPlaceholder = "[operator key]";

/** A command that reports as text or JSON. */
export abstract class ReportingCommand extends clipanion.Command<CommandContext> {
    json = clipanion.Option.Boolean("--json", false, { description: "Print JSON." });
    /** Never printed, whoever sends it back. */
    #secret: string | undefined;

    async execute(): Promise<number> {
        const result = await this.#produceSafely();
        return result.match(report => this.#printReport(report), error => this.#printError(error));
    }

    /** An exception is a fault of the command itself; a change may have been sent before. */
    async #produceSafely(): Promise<CommandResult> {
        try {
            return await this.produce();
        }
        catch (thrown) {
            return neverthrow.err(
                commandError.createError(
                    commandError.CommandFault.unknown,
                    `the command failed: ${errors.describeThrown(thrown)}`,
                    "Look at `catkinwharf status` before you repeat a change, and report this as a fault.",
                ),
            );
        }
    }

    /** Does the work. */
    protected abstract produce(): Promise<CommandResult>;

    protected hide(secret: string): void {
        this.#secret = secret;
    }

    /** Prints one line, or what `ending` makes of it, on standard output. */
    protected print(text: string, ending = "\n"): void {
        this.context.stdout.write(this.#redact(`${text}${ending}`));
    }

    /** Tells something beside the result, on standard error. */
    protected notify(text: string): void {
        this.context.stderr.write(this.#redact(`${text}\n`));
    }

    #printReport(report: Report | undefined): exitCode.ExitCode {
        if (report !== undefined) {
            this.print(this.json ? JSON.stringify(report.document, undefined, 2) : report.text);
        }
        return exitCode.ExitCode.done;
    }

    #printError(error: commandError.CommandError): exitCode.ExitCode {
        const code = commandError.faultExitCodes[error.fault];
        const { fault, reason, nextStep, answer } = error;
        this.notify(
            this.json
                ? JSON.stringify({ error: { fault, exitCode: code, reason, nextStep, answer } })
                : commandError.describeError(error),
        );
        return code;
    }

    #redact(text: string): string {
        return this.#secret === undefined ? text : text.replaceAll(this.#secret, keyPlaceholder);
    }
}

/** A command that asks an entry instance. */
export abstract class OperatorCommand extends ReportingCommand {
    url = clipanion.Option.Array("--url", {
        description: `URL of an entry instance's operator port; else from --settings or ${connection.urlVariable}. `
            + "Given again, the next is asked when one can't be.",
    });
    key = clipanion.Option.String("--key", {
        description: `Operator key; better in --settings or ${connection.keyVariable}, out of the process list.`,
    });
    settingsFile = clipanion.Option.String("--settings", {
        description: "File of command settings, JSON with comments.",
    });

    protected async produce(): Promise<CommandResult> {
        const target = connection.resolveConnection(this, this.context.env);
        if (target.isErr()) {
            return neverthrow.err(target.error);
        }
        this.hide(target.value.operatorKey);
        const client = new operatorClient.OperatorClient(target.value, this.context.sleep);
        try {
            return await this.ask(client);
        }
        finally {
            await client.close();
        }
    }

    /** Asks the entry instance and says what to print. */
    protected abstract ask(client: operatorClient.OperatorClient): Promise<CommandResult>;
}
