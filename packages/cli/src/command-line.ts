/**
 * The command line: all commands, and a run that keeps errors off standard output.
 */
import * as clipanion from "clipanion";
import * as config from "./commands/config.js";
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
    log.LogTail,
];

/** All commands under the name of the binary. */
export function createCli(): clipanion.Cli<reportingCommand.CommandContext> {
    const cli = new clipanion.Cli<reportingCommand.CommandContext>({
        binaryLabel: "catkinwharf, the operators' command line",
        binaryName: "catkinwharf",
        enableColors: false,
    });
    commands.forEach(command => cli.register(command));
    return cli;
}

/** Runs one command line. The library prints usage errors on standard output; here they go to standard error. */
export async function runCli(
    argumentList: readonly string[],
    context: reportingCommand.CommandContext,
): Promise<exitCode.ExitCode> {
    const cli = createCli();
    try {
        const command = cli.process([...argumentList], context);
        if (command.help || command instanceof clipanion.Builtins.HelpCommand) {
            const usage = command.help ? cli.usage(command, { detailed: true }) : cli.usage();
            context.stdout.write(nameValues(usage));
            return exitCode.ExitCode.done;
        }
        return await cli.run(command, context) as exitCode.ExitCode;
    }
    catch (thrown) {
        context.stderr.write(nameValues(cli.error(thrown)));
        return exitCode.ExitCode.invalid;
    }
}

/** The library shows an option's value as `#0`. */
function nameValues(usage: string): string {
    return usage.replaceAll("#0", "VALUE");
}
