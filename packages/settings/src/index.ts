/**
 * Reads settings files written in JSON with comments, fills in defaults and checks them against their schema.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as jsonc from "jsonc-parser";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";

type Check<Document> = ((document: unknown) => document is Document) & {
    errors?: Parameters<typeof schema.describeFailure>[0];
};

/** Reads the settings of an entry instance. Errors name the file, the key and the reason. */
export function readEntrySettings(
    file: string,
): neverthrow.Result<schema.settings.EntrySettings, errors.SettingsError> {
    return readChecked(file, schema.validators.settingsEntrySettings as Check<schema.settings.EntrySettings>);
}

/** Reads the settings of the command line. */
export function readCommandSettings(
    file: string,
): neverthrow.Result<schema.settings.CommandSettings, errors.SettingsError> {
    return readChecked(file, schema.validators.settingsCommandSettings as Check<schema.settings.CommandSettings>);
}

/** Reads the description of a whole deployment on stand-ins. */
export function readDeployment(file: string): neverthrow.Result<schema.settings.Deployment, errors.SettingsError> {
    return readChecked(file, schema.validators.settingsDeployment as Check<schema.settings.Deployment>);
}

/** Reads a profile to publish. */
export function readProfile(file: string): neverthrow.Result<schema.log.Profile, errors.SettingsError> {
    return readChecked(file, schema.validators.logProfile as Check<schema.log.Profile>);
}

/** Reads a configuration to publish. */
export function readConfiguration(file: string): neverthrow.Result<schema.log.Configuration, errors.SettingsError> {
    return readChecked(file, schema.validators.logConfiguration as Check<schema.log.Configuration>);
}

function readChecked<Document>(
    file: string,
    check: Check<Document>,
): neverthrow.Result<Document, errors.SettingsError> {
    return readText(file).andThen(text => parseText(file, text)).andThen(document => {
        if (check(document)) {
            return neverthrow.ok(document);
        }
        const [key, reason] = splitFailure(schema.describeFailure(check.errors));
        return neverthrow.err(createError(file, key, reason));
    });
}

function readText(file: string): neverthrow.Result<string, errors.SettingsError> {
    try {
        return neverthrow.ok(fs.readFileSync(file, "utf8"));
    }
    catch (thrown) {
        return neverthrow.err(createError(file, "", errors.describeThrown(thrown)));
    }
}

function parseText(file: string, text: string): neverthrow.Result<unknown, errors.SettingsError> {
    const failures: jsonc.ParseError[] = [];
    const document: unknown = jsonc.parse(text, failures, { allowTrailingComma: true });
    const first = failures[0];
    if (first === undefined) {
        return neverthrow.ok(document);
    }
    const line = text.slice(0, first.offset).split("\n").length;
    return neverthrow.err(createError(file, "", `line ${line}: ${jsonc.printParseErrorCode(first.error)}`));
}

function splitFailure(failure: string): readonly [key: string, reason: string] {
    const colon = failure.indexOf(": ");
    return [failure.slice(0, colon), failure.slice(colon + 2)];
}

function createError(file: string, key: string, reason: string): errors.SettingsError {
    return { layer: "settings", file, key, reason };
}

/** One line that names file, key and reason. */
export function describeError(error: errors.SettingsError): string {
    return error.key === "" ? `${error.file}: ${error.reason}` : `${error.file}: ${error.key}: ${error.reason}`;
}
