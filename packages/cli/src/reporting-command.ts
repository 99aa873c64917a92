/**
 * Base classes of all commands: output as text or JSON, errors on standard error, exit codes and the operator client.
 */
import * as errors from "@catkinwharf/errors";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";
import * as connection from "./connection.js";
import * as exitCode from "./exit-code.js";
import * as operatorClient from "./operator-client.js";

/** Streams, environment, clock and interrupt signal that a command runs with. */
export type CommandContext = clipanion.BaseContext & {
    /** Wall-clock time in ms since 1970. */
    readonly now: () => number;
    readonly sleep: operatorClient.Sleep;
    /** Aborted when the operator interrupts the command. */
    readonly signal: AbortSignal;
};

/** Output of a command: `document` is printed with `--json`, `text` otherwise. */
export interface Report {
    readonly document: unknown;
    readonly text: string;
}

/** Result of a command; undefined if the command has already printed its output. */
export type CommandResult = neverthrow.Result<Report | undefined, commandError.CommandError>;

/** Printed in place of the operator key. */
const keyPlaceholder = "[operator key]";

/** A command that prints its report as text or JSON. */
export abstract class ReportingCommand extends clipanion.Command<CommandContext> {
    json = clipanion.Option.Boolean("--json", false, { description: "Print JSON." });
    /** Replaced in all output, because a response may repeat it. */
    #secret: string | undefined;

    async execute(): Promise<number> {
        const result = await this.#runCommandSafely();
        return result.match(report => this.#printReport(report), error => this.#printError(error));
    }

    /** An exception is a bug in the command. It may follow a change that was sent, so the outcome counts as unknown. */
    async #runCommandSafely(): Promise<CommandResult> {
        try {
            return await this.runCommand();
        }
        catch (thrown) {
            return neverthrow.err(
                commandError.createError(
                    commandError.CommandFault.unknown,
                    `the command failed: ${errors.getErrorMessage(thrown)}`,
                    "Look at `catkinwharf status` before you repeat a change, and report this as a fault.",
                ),
            );
        }
    }

    /** Runs the command and returns what is left to print. */
    protected abstract runCommand(): Promise<CommandResult>;

    /** Exit code of an error. */
    protected getErrorCode(fault: commandError.CommandFault): exitCode.ExitCode {
        return commandError.faultExitCodes[fault];
    }

    /** Sets the text that is replaced in all output. */
    protected registerSecret(secret: string): void {
        this.#secret = secret;
    }

    /** Writes the text, followed by `ending`, to standard output. */
    protected print(text: string, ending = "\n"): void {
        this.context.stdout.write(this.#redact(`${text}${ending}`));
    }

    /** Writes a line with a note or an error to standard error. */
    protected printDiagnostic(text: string): void {
        this.context.stderr.write(this.#redact(`${text}\n`));
    }

    #printReport(report: Report | undefined): exitCode.ExitCode {
        if (report !== undefined) {
            this.print(this.json ? JSON.stringify(report.document, undefined, 2) : report.text);
        }
        return exitCode.ExitCode.done;
    }

    #printError(error: commandError.CommandError): exitCode.ExitCode {
        const code = this.getErrorCode(error.fault);
        const { fault, reason, nextStep, answer } = error;
        this.printDiagnostic(
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

/** A command that sends requests to the operator port of an entry instance. */
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

    protected async runCommand(): Promise<CommandResult> {
        const target = connection.resolveConnection(this, this.context.env);
        if (target.isErr()) {
            return neverthrow.err(target.error);
        }
        this.registerSecret(target.value.operatorKey);
        const client = new operatorClient.OperatorClient(target.value, this.context.sleep);
        try {
            return await this.runWithClient(client);
        }
        finally {
            await client.close();
        }
    }

    /** Runs the command with a client, which is closed afterwards. */
    protected abstract runWithClient(client: operatorClient.OperatorClient): Promise<CommandResult>;
}
