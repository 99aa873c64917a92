/**
 * Resolves the URLs of the operator ports and the operator key. Options take precedence over the settings file, and the
 * settings file over the environment.
 */
import * as settings from "@catkinwharf/settings";
import * as neverthrow from "neverthrow";
import * as commandError from "./command-error.js";

/** Environment variable that holds the URL of an operator port, or several URLs separated by commas. */
export const urlVariable = "CATKINWHARF_URL";
/** Environment variable that holds the operator key. */
export const keyVariable = "CATKINWHARF_OPERATOR_KEY";

/** Command line options for the operator port and key. */
export interface ConnectionOptions {
    /** URLs of operator ports. */
    readonly url: readonly string[] | undefined;
    readonly key: string | undefined;
    /** Path of a command settings file. */
    readonly settingsFile: string | undefined;
}

/** URLs of operator ports, in the order in which they are tried, and the operator key that all of them accept. */
export interface Connection {
    /** At least one. */
    readonly urls: readonly URL[];
    readonly operatorKey: string;
}

interface PartialConnection {
    readonly url: string | undefined;
    readonly key: string | undefined;
}

/** Resolves URLs and key. Fails if one is missing or invalid. Errors never contain the key. */
export function resolveConnection(
    options: ConnectionOptions,
    environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Connection, commandError.CommandError> {
    return readSettingsFile(options.settingsFile).andThen(file => {
        const urls = options.url ?? (file.url === undefined ? undefined : [file.url])
            ?? environment[urlVariable]?.split(",") ?? [];
        const key = options.key ?? file.key ?? environment[keyVariable];
        return parseUrls(urls).andThen(parsedUrls =>
            parseKey(key).map(operatorKey => ({ urls: parsedUrls, operatorKey }))
        );
    });
}

function readSettingsFile(file: string | undefined): neverthrow.Result<PartialConnection, commandError.CommandError> {
    if (file === undefined) {
        return neverthrow.ok({ url: undefined, key: undefined });
    }
    return settings.readCommandSettings(file)
        .map(document => ({ url: document.operatorUrl, key: document.operatorKey }))
        .mapErr(commandError.fromSettingsError);
}

function parseUrls(texts: readonly string[]): neverthrow.Result<readonly URL[], commandError.CommandError> {
    const urls = texts.map(text => text.trim()).filter(text => text !== "");
    if (urls.length === 0) {
        return invalid("no entry instance is named", `Give --url, --settings FILE or ${urlVariable}.`);
    }
    return urls.every(isOperatorUrl)
        ? neverthrow.ok(urls.map(text => new URL(text)))
        : invalid("the URL of an operator port is malformed", "Give it as http://HOST:PORT.");
}

function isOperatorUrl(text: string): boolean {
    return URL.canParse(text) && /^https?:$/.test(new URL(text).protocol);
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
