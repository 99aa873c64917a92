/**
 * Entry point: reads the settings, starts the process, and shuts it down on SIGTERM.
 */
import * as eventLog from "@catkinwharf/event-log";
import * as platform from "@catkinwharf/platform";
import * as fs from "node:fs";
import * as entryInstance from "./entry-instance.js";

/** Time in ms for writing the last log lines before the process exits. */
const logFlushTime = 300;

function readSettings(): platform.settings.ProcessSettings {
    const file = process.env[platform.settings.settingsVariable];
    if (file === undefined) {
        throw new Error(
            `environment variable ${platform.settings.settingsVariable} is not set; it must name the settings file`,
        );
    }
    const settings = platform.settings.decodeSettings(fs.readFileSync(file, "utf8"));
    if ("missing" in settings) {
        throw new Error(`${file}: setting ${settings.missing} is missing`);
    }
    if ("invalid" in settings) {
        throw new Error(`${file}: setting ${settings.invalid} ${settings.reason}`);
    }
    return settings;
}

const settings = readSettings();
const log = eventLog.createEventLog(settings.node);
const instance = new entryInstance.EntryInstance(settings, log);

process.on("SIGTERM", () => {
    void instance.shutDown().finally(() => setTimeout(() => process.exit(0), logFlushTime));
});
// Only checks whether the settings file can be read; changed settings take effect at the next start.
process.on("SIGHUP", () => {
    try {
        readSettings();
        log.info("settings-reloaded", {});
    }
    catch (error) {
        log.warn("settings-rejected", { error: String(error) });
    }
});
process.on("uncaughtException", error => {
    log.warn("uncaught", { error: error.stack });
    setTimeout(() => process.exit(1), logFlushTime);
});
process.on("unhandledRejection", error => {
    log.warn("unhandled-rejection", { error: error instanceof Error ? error.stack : String(error) });
});
instance.start();
