/**
 * `catkinwharf config`: publishes, compares and shows the configuration.
 */
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as change from "../change.js";
import * as commandError from "../command-error.js";
import * as difference from "../difference.js";
import * as operatorClient from "../operator-client.js";
import * as reportingCommand from "../reporting-command.js";
import * as wholeNumber from "../whole-number.js";

export class ConfigPublish extends reportingCommand.OperatorCommand {
    static override paths = [["config", "publish"]];
    static override usage = clipanion.Command.Usage({
        category: "Configuration",
        description: "Publish a configuration for the whole fleet.",
        details: "Without --expect-version, the version in force is read first and expected. Publishing again with "
            + "the same --expect-version is safe: at most one of them takes effect.",
        examples: [
            ["See what would change", "$0 config publish examples/configuration.jsonc --dry-run"],
            ["Publish over version 3", "$0 config publish examples/configuration.jsonc --expect-version 3"],
        ],
    });

    file = clipanion.Option.String({ name: "FILE" });
    expectVersion = clipanion.Option.String("--expect-version", {
        description: "Version that you saw, 0 for none.",
    });
    dryRun = clipanion.Option.Boolean("--dry-run", false, { description: "Say what would change, change nothing." });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const expected = wholeNumber.parseWholeNumber("--expect-version", this.expectVersion);
        const newConfiguration = settings.readConfiguration(this.file).mapErr(commandError.fromSettingsError);
        if (expected.isErr() || newConfiguration.isErr()) {
            return neverthrow.err(expected.isErr() ? expected.error : newConfiguration._unsafeUnwrapErr());
        }
        if (this.dryRun) {
            return createDiffReport(client, newConfiguration.value, expected.value);
        }
        const version = expected.value === undefined
            ? await this.#readVersion(client)
            : neverthrow.ok(expected.value);
        if (version.isErr()) {
            return neverthrow.err(version.error);
        }
        const result = await client.sendChange(createChange(newConfiguration.value, version.value, this.file));
        return result.map(answer => ({
            document: { ...answer, expectedVersion: version.value },
            text: `configuration: version ${answer.version} is accepted at offset ${answer.offset}`,
        }));
    }

    async #readVersion(client: operatorClient.OperatorClient): operatorClient.AsyncResult<number> {
        const result = await client.readConfiguration();
        return result.map(({ version }) => {
            this.printDiagnostic(`note: expecting configuration version ${version}, the one in force now`);
            return version;
        });
    }
}

/** Compares a file with the configuration in force. */
export class ConfigDiff extends reportingCommand.OperatorCommand {
    static override paths = [["config", "diff"]];
    static override usage = clipanion.Command.Usage({
        category: "Configuration",
        description: "Show how a file differs from the configuration in force.",
        details: "A line starts with + for what the file adds, - for what it drops and ~ for what it changes.",
    });

    file = clipanion.Option.String({ name: "FILE" });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const newConfiguration = settings.readConfiguration(this.file).mapErr(commandError.fromSettingsError);
        return newConfiguration.isErr()
            ? neverthrow.err(newConfiguration.error)
            : createDiffReport(client, newConfiguration.value, undefined);
    }
}

/** Shows the configuration in force. */
export class ConfigShow extends reportingCommand.OperatorCommand {
    static override paths = [["config", "show"]];
    static override usage = clipanion.Command.Usage({
        category: "Configuration",
        description: "Show the configuration in force and its version.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.readConfiguration();
        return result.map(answer => ({ document: answer, text: renderConfiguration(answer) }));
    }
}

/** Fails with a conflict if a version is expected and another one is in force. */
async function createDiffReport(
    client: operatorClient.OperatorClient,
    newConfiguration: schema.log.Configuration,
    expectedVersion: number | undefined,
): Promise<reportingCommand.CommandResult> {
    const result = await client.readConfiguration();
    return result.andThen(({ version, configuration }) => {
        if (expectedVersion !== undefined && expectedVersion !== version) {
            return neverthrow.err(
                commandError.createError(
                    commandError.CommandFault.conflict,
                    `configuration: version ${version} is in force, ${expectedVersion} was expected`,
                    `Read the difference, then use --expect-version ${version}.`,
                ),
            );
        }
        const differences = difference.compareConfigurations(configuration, newConfiguration);
        return neverthrow.ok({
            document: { version, differences },
            text: `against version ${version} in force:\n${difference.renderDifferences(differences)}`,
        });
    });
}

function createChange(configuration: schema.log.Configuration, expectedVersion: number, file: string): change.Change {
    const body: schema.operator.ConfigurationChange = { configuration, expectedVersion };
    return {
        subject: "configuration",
        request: { method: "POST", path: "/operator/configurations", body, responseTimeoutMs: change.changeTimeoutMs },
        conflictReason: "another change came first",
        conflictNextStep: version =>
            `See \`catkinwharf config diff ${file}\`, carry the other change over, `
            + `then publish with --expect-version ${version}.`,
        unknownNextStep: "Look at `catkinwharf config show`. Publishing again with "
            + `--expect-version ${expectedVersion} is safe: at most one of them takes effect.`,
    };
}

function renderConfiguration(answer: schema.operator.ConfigurationAnswer): string {
    return answer.configuration === undefined
        ? "no configuration is in force"
        : `version ${answer.version}\n${JSON.stringify(answer.configuration, undefined, 4)}`;
}
