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
/** Returns to the start of the line and clears it. */
const clearLine = "\r\u001b[2K";

/** Follows a planned stop. */
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const seconds = wholeNumber.parseWholeNumber("--timeout", this.timeout);
        if (seconds.isErr()) {
            return neverthrow.err(seconds.error);
        }
        const endAt = seconds.value === undefined ? undefined : this.context.now() + seconds.value * msPerSecond;
        for (;;) {
            const answered = await client.readStatus();
            const found = answered.andThen(answer => findStop(answer, this.name));
            if (answered.isErr() || found.isErr()) {
                return neverthrow.err(answered.isErr() ? answered.error : found._unsafeUnwrapErr());
            }
            this.#showNote(coordinatorNote.describeCoordinator(answered.value, [found.value]));
            this.#showProgress(found.value);
            const end = endHandlers[found.value.state](found.value);
            if (end !== undefined) {
                this.#endLine();
                return end;
            }
            if (this.context.signal.aborted || isOver(endAt, this.context.now())) {
                this.#endLine();
                return neverthrow.err(createTimeout(found.value));
            }
            await this.context.sleep(pollMs);
        }
    }

    /** Shows a note when it differs from the last one. */
    #showNote(note: string | undefined): void {
        if (note !== undefined && note !== this.#lastNote) {
            this.notify(note);
        }
        this.#lastNote = note;
    }

    #showProgress(status: schema.operator.StopStatus): void {
        const line = this.json ? JSON.stringify(status) : rendering.renderProgress(status);
        if (line === this.#lastLine) {
            return;
        }
        this.#lastLine = line;
        if (this.#isLive()) {
            this.print(`${clearLine}${rendering.renderBar(status.done, status.total)} ${line}`, "");
        }
        else {
            this.print(line);
        }
    }

    #endLine(): void {
        if (this.#isLive()) {
            this.print("");
        }
    }

    #isLive(): boolean {
        return !this.json && "isTTY" in this.context.stdout && this.context.stdout.isTTY === true;
    }
}

/** Result of the states in which a stop has ended; undefined while it goes on. */
const endHandlers: Readonly<
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

function isOver(endAt: number | undefined, now: number): boolean {
    return endAt !== undefined && now >= endAt;
}

function createTimeout(status: schema.operator.StopStatus): commandError.CommandError {
    return commandError.createError(
        commandError.CommandFault.unknown,
        `stop ${status.stop}: still ${status.state}, ${status.done} of ${status.total} done`,
        `The stop goes on by itself. See \`catkinwharf explain stop ${status.stop}\` for what it waits for.`,
    );
}
