#!/usr/bin/env node
/**
 * Starts the entry process, and stops it gracefully on SIGTERM or SIGINT.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as clipanion from "clipanion";
import * as entryProcess from "../entry-process.js";
import * as processContext from "../process-context.js";

class RunCommand extends clipanion.Command {
    static override usage = clipanion.Command.Usage({
        description: "Run the entry process.",
        examples: [["Run with a settings file", "catkinwharfd --settings entry.jsonc"]],
    });

    settingsFile = clipanion.Option.String("--settings", {
        required: true,
        description: "Settings file in JSON with comments.",
    });

    override execute(): Promise<number> {
        return settings.readEntrySettings(this.settingsFile).match(
            document => this.#run(document),
            error => {
                this.context.stderr.write(`catkinwharfd: ${settings.describeError(error)}\n`);
                return Promise.resolve(1);
            },
        );
    }

    async #run(document: schema.settings.EntrySettings): Promise<number> {
        const context = processContext.createContext(document);
        const log = context.createLogger("main");
        const entry = new entryProcess.EntryProcess(context);
        try {
            const ports = await entry.start();
            this.context.stdout.write(`${JSON.stringify(ports)}\n`);
            log.info(`Listening for callers on port ${ports.callerPort}.`);
        }
        catch (thrown) {
            log.error(`The process can't start: ${errors.getErrorMessage(thrown)}.`);
            return 1;
        }
        const signal = await waitForSignal();
        log.info(`Stopping on ${signal}.`);
        await entry.stop();
        log.info("Stopped.");
        return 0;
    }
}

function waitForSignal(): Promise<NodeJS.Signals> {
    return new Promise(resolve => {
        for (const signal of ["SIGTERM", "SIGINT"] as const) {
            process.once(signal, () => resolve(signal));
        }
    });
}

const cli = new clipanion.Cli({ binaryName: "catkinwharfd", binaryLabel: "catkinwharf entry process" });
cli.register(RunCommand);
cli.register(clipanion.Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
