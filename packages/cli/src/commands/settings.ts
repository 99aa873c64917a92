/**
 * `catkinwharf settings`: validates settings files, profiles and configurations.
 */
import * as errors from "@catkinwharf/errors";
import * as settings from "@catkinwharf/settings";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import * as commandError from "../command-error.js";
import * as reportingCommand from "../reporting-command.js";

type Reader = (file: string) => neverthrow.Result<unknown, errors.SettingsError>;

/** Functions that read and validate a file, by kind of file. */
const readers: ReadonlyMap<string, Reader> = new Map<string, Reader>([
    ["entry", settings.readEntrySettings],
    ["command", settings.readCommandSettings],
    ["profile", settings.readProfile],
    ["configuration", settings.readConfiguration],
]);

/** Validates a file. */
export class SettingsCheck extends reportingCommand.ReportingCommand {
    static override paths = [["settings", "check"]];
    static override usage = clipanion.Command.Usage({
        category: "Files",
        description: "Check a settings file and name the place of the first fault.",
        details: "Without --kind, a file that names `operatorUrl` is taken for command settings, any other for entry "
            + "settings.",
        examples: [["Check the settings of an entry instance", "$0 settings check entry.jsonc"]],
    });

    file = clipanion.Option.String({ name: "FILE" });
    kind = clipanion.Option.String("--kind", { description: `One of: ${[...readers.keys()].join(", ")}.` });

    protected async runCommand(): Promise<reportingCommand.CommandResult> {
        const kind = this.kind ?? guessKind(this.file);
        const read = readers.get(kind);
        if (read === undefined) {
            return neverthrow.err(
                commandError.createError(
                    commandError.CommandFault.invalid,
                    `there is no kind of file named ${JSON.stringify(kind)}`,
                    `Give --kind as one of: ${[...readers.keys()].join(", ")}.`,
                ),
            );
        }
        return read(this.file)
            .map(() => ({ document: { file: this.file, kind, valid: true }, text: `${this.file}: valid (${kind})` }))
            .mapErr(commandError.fromSettingsError);
    }
}

/**
 * Guesses the kind from a key that only command settings have. A file that can't be read counts as entry settings; the
 * function that reads these reports the error.
 */
function guessKind(file: string): string {
    try {
        return /"operatorUrl"\s*:/.test(fs.readFileSync(file, "utf8")) ? "command" : "entry";
    }
    catch {
        return "entry";
    }
}
