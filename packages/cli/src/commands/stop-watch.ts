/**
 * `catkinwharf stop watch`: follows a planned stop until it ends.
 */
import * as schema from "@catkinwharf/schema";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as commandError from "../command-error.js";
import * as coordinatorNote from "../coordinator-note.js";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";
import * as wholeNumber from "../whole-number.js";

const pollMs = 1_000;
const msPerSecond = 1_000;
/** Control sequence that moves the cursor to the start of the line and clears the line. */
const clearLine = "\r\u001b[2K";

/** Polls a planned stop and prints each change of its progress. */
export class StopWatch extends reportingCommand.OperatorCommand {
    static override paths = [["stop", "watch"]];
    static override usage = clipanion.Command.Usage({
        category: "Planned stops",
        description: "Follow a planned stop until it ends.",
        details: "Exit code 0 when it is finished, 2 when another operator cancelled it, 3 when the time is up or "
            + "the command is interrupted before its end. Prints a line for each change where the output is no "
            + "terminal, and one JSON document a line with --json.",
    });

    name = clipanion.Option.String({ name: "NAME" });
    timeout = clipanion.Option.String("--timeout", { description: "Seconds to watch; without it, until the end." });
    #lastLine = "";
    #lastNote: string | undefined;

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const seconds = wholeNumber.parseWholeNumber("--timeout", this.timeout);
        if (seconds.isErr()) {
            return neverthrow.err(seconds.error);
        }
        const endAt = seconds.value === undefined ? undefined : this.context.now() + seconds.value * msPerSecond;
        for (;;) {
            const result = await client.readStatus();
            const stop = result.andThen(answer => findStop(answer, this.name));
            if (result.isErr() || stop.isErr()) {
                return neverthrow.err(result.isErr() ? result.error : stop._unsafeUnwrapErr());
            }
            this.#showNote(coordinatorNote.createNote(result.value, [stop.value]));
            this.#showProgress(stop.value);
            const endResult = endResults[stop.value.state](stop.value);
            if (endResult !== undefined) {
                this.#finishLine();
                return endResult;
            }
            if (this.context.signal.aborted || isPast(endAt, this.context.now())) {
                this.#finishLine();
                return neverthrow.err(createTimeoutError(stop.value));
            }
            await this.context.sleep(pollMs);
        }
    }

    /** Prints a note unless it is the same as after the last poll. */
    #showNote(note: string | undefined): void {
        if (note !== undefined && note !== this.#lastNote) {
            this.printDiagnostic(note);
        }
        this.#lastNote = note;
    }

    #showProgress(status: schema.operator.StopStatus): void {
        const line = this.json ? JSON.stringify(status) : rendering.renderProgress(status);
        if (line === this.#lastLine) {
            return;
        }
        this.#lastLine = line;
        if (this.#rewritesLine()) {
            this.print(`${clearLine}${rendering.renderProgressBar(status.done, status.total)} ${line}`, "");
        }
        else {
            this.print(line);
        }
    }

    /** On a terminal, moves to a new line after the progress line, which has no line ending. */
    #finishLine(): void {
        if (this.#rewritesLine()) {
            this.print("");
        }
    }

    /** Whether the progress line is rewritten in place. */
    #rewritesLine(): boolean {
        return !this.json && "isTTY" in this.context.stdout && this.context.stdout.isTTY === true;
    }
}

/** Result of the command by the state of the stop; undefined while the stop has not ended. */
const endResults: Readonly<
    Record<
        schema.operator.StopStatus["state"],
        (status: schema.operator.StopStatus) => reportingCommand.CommandResult | undefined
    >
> = {
    running: () => undefined,
    waiting: () => undefined,
    halted: () => undefined,
    finished: () => neverthrow.ok(undefined),
    cancelled: status =>
        neverthrow.err(
            commandError.createError(
                commandError.CommandFault.conflict,
                `stop ${status.stop}: cancelled after ${status.done} of ${status.total} instances`,
                "Announce a new stop for the rest, if it is still wanted.",
            ),
        ),
};

function findStop(
    answer: schema.operator.StatusAnswer,
    name: string,
): neverthrow.Result<schema.operator.StopStatus, commandError.CommandError> {
    const found = answer.stops.find(status => status.stop === name);
    return found === undefined
        ? neverthrow.err(
            commandError.createError(
                commandError.CommandFault.invalid,
                `no stop is named ${name}`,
                "See `catkinwharf stop list`.",
            ),
        )
        : neverthrow.ok(found);
}

function isPast(endAt: number | undefined, now: number): boolean {
    return endAt !== undefined && now >= endAt;
}

function createTimeoutError(status: schema.operator.StopStatus): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unknown,
        `stop ${status.stop}: still ${status.state}, ${status.done} of ${status.total} done`,
        `The stop goes on by itself. See \`catkinwharf explain stop ${status.stop}\` for what it waits for.`,
    );
}
