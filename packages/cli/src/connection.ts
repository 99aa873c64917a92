/**
 * Finds the operator port and key: options first, then the settings file, then the environment.
 */
import * as settings from "@catkinwharf/settings";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";

/** Environment variable that holds the URL of an operator port. */
export const urlVariable = "CATKINWHARF_URL";
/** Environment variable that holds the operator key. */
export const keyVariable = "CATKINWHARF_OPERATOR_KEY";

/** Options of the command that name the operator port. */
export interface ConnectionOptions {
    readonly url: string | undefined;
    readonly key: string | undefined;
    /** File of command settings. */
    readonly settingsFile: string | undefined;
}

/** An operator port and the key for it. */
export interface Connection {
    readonly url: URL;
    readonly operatorKey: string;
}

interface PartialConnection {
    readonly url: string | undefined;
    readonly key: string | undefined;
}

/** Where URL and key come from. Fails if one is missing or can't be used. The key never appears in an error. */
export function resolveConnection(
    options: ConnectionOptions,
    environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Connection, commandError.CommandError> {
    return readFile(options.settingsFile).andThen(file => {
        const url = options.url ?? file.url ?? environment[urlVariable];
        const key = options.key ?? file.key ?? environment[keyVariable];
        return parseUrl(url).andThen(parsed => parseKey(key).map(operatorKey => ({ url: parsed, operatorKey })));
    });
}

function readFile(file: string | undefined): neverthrow.Result<PartialConnection, commandError.CommandError> {
    if (file === undefined) {
        return neverthrow.ok({ url: undefined, key: undefined });
    }
    return settings.readCommandSettings(file)
        .map(document => ({ url: document.operatorUrl, key: document.operatorKey }))
        .mapErr(commandError.fromSettingsError);
}

function parseUrl(text: string | undefined): neverthrow.Result<URL, commandError.CommandError> {
    if (text === undefined || text === "") {
        return invalid("no entry instance is named", `Give --url, --settings FILE or ${urlVariable}.`);
    }
    const isUsable = URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
    return isUsable
        ? neverthrow.ok(new URL(text))
        : invalid("the URL of the operator port is malformed", "Give it as http://HOST:PORT.");
}

function parseKey(text: string | undefined): neverthrow.Result<string, commandError.CommandError> {
    if (text === undefined || text === "") {
        return neverthrow.err(
            commandError.createError(
                commandError.CommandFault.unauthorized,
                "no operator key is given",
                `Give --settings FILE, ${keyVariable} or --key.`,
            ),
        );
    }
    return /^[\x21-\x7e]+$/.test(text)
        ? neverthrow.ok(text)
        : invalid("the operator key holds characters other than printable ASCII", "Correct the key.");
}

function invalid(reason: string, nextStep: string): neverthrow.Result<never, commandError.CommandError> {
    return neverthrow.err(commandError.createError(commandError.CommandFault.invalid, reason, nextStep));
}
