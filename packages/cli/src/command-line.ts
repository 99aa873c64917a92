/**
 * Registers all commands and runs a command line, with errors on standard error.
 */
import * as clipanion from "clipanion";
import * as config from "./commands/config.js";
import * as explainPlacement from "./commands/explain-placement.js";
import * as explain from "./commands/explain.js";
import * as log from "./commands/log.js";
import * as move from "./commands/move.js";
import * as profile from "./commands/profile.js";
import * as settings from "./commands/settings.js";
import * as status from "./commands/status.js";
import * as stopWatch from "./commands/stop-watch.js";
import * as stop from "./commands/stop.js";
import * as exitCode from "./exit-code.js";
import * as reportingCommand from "./reporting-command.js";

const commands: readonly clipanion.CommandClass<reportingCommand.CommandContext>[] = [
    clipanion.Builtins.HelpCommand,
    settings.SettingsCheck,
    profile.ProfilePublish,
    profile.ProfileList,
    config.ConfigPublish,
    config.ConfigDiff,
    config.ConfigShow,
    stop.StopAnnounce,
    stop.StopCancel,
    stop.StopList,
    stopWatch.StopWatch,
    move.MoveList,
    status.Status,
    explain.ExplainInstance,
    explain.ExplainStop,
    explain.ExplainRequest,
    explainPlacement.ExplainJob,
    explainPlacement.ExplainSubmission,
    log.LogTail,
];

/** Creates the command line interface with all commands. */
export function createCli(): clipanion.Cli<reportingCommand.CommandContext> {
    const cli = new clipanion.Cli<reportingCommand.CommandContext>({
        binaryLabel: "catkinwharf, the operators' command line",
        binaryName: "catkinwharf",
        enableColors: false,
    });
    commands.forEach(command => cli.register(command));
    return cli;
}

/** Runs one command line. Usage errors go to standard error; clipanion's own run prints them on standard output. */
export async function runCli(
    argumentList: readonly string[],
    context: reportingCommand.CommandContext,
): Promise<exitCode.ExitCode> {
    const cli = createCli();
    try {
        const command = cli.process([...argumentList], context);
        if (command.help || command instanceof clipanion.Builtins.HelpCommand) {
            const usage = command.help ? cli.usage(command, { detailed: true }) : cli.usage();
            context.stdout.write(replaceValuePlaceholders(usage));
            return exitCode.ExitCode.done;
        }
        return await cli.run(command, context) as exitCode.ExitCode;
    }
    catch (thrown) {
        context.stderr.write(replaceValuePlaceholders(cli.error(thrown)));
        return explainPlacement.isPlacementCommand(argumentList)
            ? exitCode.PlacementExitCode.unknown
            : exitCode.ExitCode.invalid;
    }
}

/** Replaces `#0`, which clipanion prints for the value of an option. */
function replaceValuePlaceholders(usage: string): string {
    return usage.replaceAll("#0", "VALUE");
}
