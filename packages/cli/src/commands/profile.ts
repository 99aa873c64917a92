/**
 * `catkinwharf profile`: publishes and lists profiles.
 */
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as change from "../change.js";
import * as commandError from "../command-error.js";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";
import * as wholeNumber from "../whole-number.js";

export class ProfilePublish extends reportingCommand.OperatorCommand {
    static override paths = [["profile", "publish"]];
    static override usage = clipanion.Command.Usage({
        category: "Profiles",
        description: "Publish a profile.",
        details: "Without --expect-version, the version in force is read first and expected. Publishing again with "
            + "the same --expect-version is safe: at most one of them takes effect.",
        examples: [["Publish a profile", "$0 profile publish examples/profile.jsonc"]],
    });

    file = clipanion.Option.String({ name: "FILE" });
    expectVersion = clipanion.Option.String("--expect-version", {
        description: "Version of the profile that you saw, 0 for none.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const expected = wholeNumber.parseWholeNumber("--expect-version", this.expectVersion);
        const profile = settings.readProfile(this.file).mapErr(commandError.fromSettingsError);
        if (expected.isErr() || profile.isErr()) {
            return neverthrow.err(expected.isErr() ? expected.error : profile._unsafeUnwrapErr());
        }
        const version = expected.value === undefined
            ? await this.#readVersion(client, profile.value.name)
            : neverthrow.ok(expected.value);
        if (version.isErr()) {
            return neverthrow.err(version.error);
        }
        const result = await client.sendChange(createChange(profile.value, version.value));
        return result.map(answer => ({
            document: { ...answer, profile: profile.value.name, expectedVersion: version.value },
            text: `profile ${profile.value.name}: version ${answer.version} is accepted at offset ${answer.offset}`,
        }));
    }

    async #readVersion(client: operatorClient.OperatorClient, name: string): operatorClient.AsyncResult<number> {
        const result = await client.readProfiles();
        return result.map(answer => {
            const version = answer.profiles.find(published => published.profile.name === name)?.version ?? 0;
            this.printDiagnostic(`note: expecting version ${version} of profile ${name}, the one in force now`);
            return version;
        });
    }
}

/** Lists the profiles in force. */
export class ProfileList extends reportingCommand.OperatorCommand {
    static override paths = [["profile", "list"]];
    static override usage = clipanion.Command.Usage({
        category: "Profiles",
        description: "List the profiles in force.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.readProfiles();
        return result.map(answer => ({ document: answer, text: renderProfiles(answer) }));
    }
}

function createChange(profile: schema.log.Profile, expectedVersion: number): change.Change {
    const body: schema.operator.ProfileChange = { profile, expectedVersion };
    return {
        subject: `profile ${profile.name}`,
        request: { method: "POST", path: "/operator/profiles", body, responseTimeoutMs: change.changeTimeoutMs },
        conflictReason: "another change came first",
        conflictNextStep: version =>
            `Look at it with \`catkinwharf profile list\`, then publish with --expect-version ${version}.`,
        unknownNextStep: "Look at `catkinwharf profile list`. Publishing again with "
            + `--expect-version ${expectedVersion} is safe: at most one of them takes effect.`,
    };
}

function renderProfiles(answer: schema.operator.ProfilesAnswer): string {
    const rows = answer.profiles.map(({ version, profile }) => [
        profile.name,
        String(version),
        String(profile.capacity.slots),
        `${profile.availability.maxUnavailableShare}`,
        String(profile.availability.minimumInstances),
        String(profile.disruption.drainTimeoutMs),
        `${profile.weights.bufferCost}/${profile.weights.rollOutTime}/${profile.weights.moves}`,
    ]);
    const columns = [
        "profile",
        "version",
        "slots",
        "max unavailable",
        "minimum",
        "drain ms",
        "weights buffer/roll-out/moves",
    ];
    return rendering.renderTable({ columns, rows }, "no profile is in force");
}
