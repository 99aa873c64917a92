/**
 * Reads settings files written in JSON with comments, validates them against their schema and fills in defaults.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as jsonc from "jsonc-parser";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";

type Validator<Document> = ((document: unknown) => document is Document) & {
    errors?: Parameters<typeof schema.describeFailure>[0];
};

/** Reads the settings of an entry instance. An error names the file, the key and the reason. */
export function readEntrySettings(
    file: string,
): neverthrow.Result<schema.settings.EntrySettings, errors.SettingsError> {
    return readValidated(file, schema.validators.settingsEntrySettings as Validator<schema.settings.EntrySettings>);
}

/** Reads the settings of the command-line client. */
export function readCommandSettings(
    file: string,
): neverthrow.Result<schema.settings.CommandSettings, errors.SettingsError> {
    return readValidated(file, schema.validators.settingsCommandSettings as Validator<schema.settings.CommandSettings>);
}

/** Reads the description of a deployment that runs against platform stand-ins. */
export function readDeployment(file: string): neverthrow.Result<schema.settings.Deployment, errors.SettingsError> {
    return readValidated(file, schema.validators.settingsDeployment as Validator<schema.settings.Deployment>);
}

/** Reads a profile that is to be published. */
export function readProfile(file: string): neverthrow.Result<schema.log.Profile, errors.SettingsError> {
    return readValidated(file, schema.validators.logProfile as Validator<schema.log.Profile>);
}

/** Reads a configuration that is to be published. */
export function readConfiguration(file: string): neverthrow.Result<schema.log.Configuration, errors.SettingsError> {
    return readValidated(file, schema.validators.logConfiguration as Validator<schema.log.Configuration>);
}

function readValidated<Document>(
    file: string,
    validate: Validator<Document>,
): neverthrow.Result<Document, errors.SettingsError> {
    return readText(file).andThen(text => parseText(file, text)).andThen(document => {
        if (validate(document)) {
            return neverthrow.ok(document);
        }
        const [key, reason] = splitValidationError(schema.describeFailure(validate.errors));
        return neverthrow.err(createError(file, key, reason));
    });
}

function readText(file: string): neverthrow.Result<string, errors.SettingsError> {
    try {
        return neverthrow.ok(fs.readFileSync(file, "utf8"));
    }
    catch (thrown) {
        return neverthrow.err(createError(file, "", errors.getErrorMessage(thrown)));
    }
}

function parseText(file: string, text: string): neverthrow.Result<unknown, errors.SettingsError> {
    const parseErrors: jsonc.ParseError[] = [];
    const document: unknown = jsonc.parse(text, parseErrors, { allowTrailingComma: true });
    const firstError = parseErrors[0];
    if (firstError === undefined) {
        return neverthrow.ok(document);
    }
    const line = text.slice(0, firstError.offset).split("\n").length;
    return neverthrow.err(createError(file, "", `line ${line}: ${jsonc.printParseErrorCode(firstError.error)}`));
}

function splitValidationError(failure: string): readonly [key: string, reason: string] {
    const colon = failure.indexOf(": ");
    return [failure.slice(0, colon), failure.slice(colon + 2)];
}

function createError(file: string, key: string, reason: string): errors.SettingsError {
    return { layer: "settings", file, key, reason };
}

/** Formats an error as one line with the file, the key if there is one, and the reason. */
export function describeError(error: errors.SettingsError): string {
    return error.key === "" ? `${error.file}: ${error.reason}` : `${error.file}: ${error.key}: ${error.reason}`;
}
