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

/** Publishes a profile. */
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
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
        const answered = await client.send(createChange(profile.value, version.value));
        return answered.map(answer => ({
            document: { ...answer, profile: profile.value.name, expectedVersion: version.value },
            text: `profile ${profile.value.name}: version ${answer.version} is accepted at offset ${answer.offset}`,
        }));
    }

    async #readVersion(client: operatorClient.OperatorClient, name: string): operatorClient.Read<number> {
        const answered = await client.readProfiles();
        return answered.map(answer => {
            const version = answer.profiles.find(published => published.profile.name === name)?.version ?? 0;
            this.notify(`note: expecting version ${version} of profile ${name}, the one in force now`);
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const answered = await client.readProfiles();
        return answered.map(answer => ({ document: answer, text: renderProfiles(answer) }));
    }
}

function createChange(profile: schema.log.Profile, expectedVersion: number): change.Change {
    const body: schema.operator.ProfileChange = { profile, expectedVersion };
    return {
        subject: `profile ${profile.name}`,
        question: { method: "POST", path: "/operator/profiles", body, answerTimeoutMs: change.changeTimeoutMs },
        conflictReason: "another change came first",
        conflictStep: version =>
            `Look at it with \`catkinwharf profile list\`, then publish with --expect-version ${version}.`,
        unknownStep: "Look at `catkinwharf profile list`. Publishing again with "
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
