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

/** Publishes a configuration. */
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const expected = wholeNumber.parseWholeNumber("--expect-version", this.expectVersion);
        const wanted = settings.readConfiguration(this.file).mapErr(commandError.fromSettingsError);
        if (expected.isErr() || wanted.isErr()) {
            return neverthrow.err(expected.isErr() ? expected.error : wanted._unsafeUnwrapErr());
        }
        if (this.dryRun) {
            return compareOnly(client, wanted.value, expected.value);
        }
        const version = expected.value === undefined
            ? await this.#readVersion(client)
            : neverthrow.ok(expected.value);
        if (version.isErr()) {
            return neverthrow.err(version.error);
        }
        const answered = await client.send(createChange(wanted.value, version.value, this.file));
        return answered.map(answer => ({
            document: { ...answer, expectedVersion: version.value },
            text: `configuration: version ${answer.version} is accepted at offset ${answer.offset}`,
        }));
    }

    async #readVersion(client: operatorClient.OperatorClient): operatorClient.Read<number> {
        const answered = await client.readConfiguration();
        return answered.map(({ version }) => {
            this.notify(`note: expecting configuration version ${version}, the one in force now`);
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const wanted = settings.readConfiguration(this.file).mapErr(commandError.fromSettingsError);
        return wanted.isErr() ? neverthrow.err(wanted.error) : compareOnly(client, wanted.value, undefined);
    }
}

/** Shows the configuration in force. */
export class ConfigShow extends reportingCommand.OperatorCommand {
    static override paths = [["config", "show"]];
    static override usage = clipanion.Command.Usage({
        category: "Configuration",
        description: "Show the configuration in force and its version.",
    });

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const answered = await client.readConfiguration();
        return answered.map(answer => ({ document: answer, text: renderConfiguration(answer) }));
    }
}

async function compareOnly(
    client: operatorClient.OperatorClient,
    wanted: schema.log.Configuration,
    expectedVersion: number | undefined,
): Promise<reportingCommand.CommandResult> {
    const answered = await client.readConfiguration();
    return answered.andThen(({ version, configuration }) => {
        if (expectedVersion !== undefined && expectedVersion !== version) {
            return neverthrow.err(
                commandError.createError(
                    commandError.CommandFault.conflict,
                    `configuration: version ${version} is in force, ${expectedVersion} was expected`,
                    `Read the difference, then use --expect-version ${version}.`,
                ),
            );
        }
        const differences = difference.compareConfigurations(configuration, wanted);
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
        question: { method: "POST", path: "/operator/configurations", body, answerTimeoutMs: change.changeTimeoutMs },
        conflictReason: "another change came first",
        conflictStep: version =>
            `See \`catkinwharf config diff ${file}\`, carry the other change over, `
            + `then publish with --expect-version ${version}.`,
        unknownStep: "Look at `catkinwharf config show`. Publishing again with "
            + `--expect-version ${expectedVersion} is safe: at most one of them takes effect.`,
    };
}

function renderConfiguration(answer: schema.operator.ConfigurationAnswer): string {
    return answer.configuration === undefined
        ? "no configuration is in force"
        : `version ${answer.version}\n${JSON.stringify(answer.configuration, undefined, 4)}`;
}
