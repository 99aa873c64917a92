/**
 * `catkinwharf stop`: announces, cancels and lists planned stops.
 */
import * as schema from "@catkinwharf/schema";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as change from "../change.js";
import * as commandError from "../command-error.js";
import * as coordinatorNote from "../coordinator-note.js";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";

const category = "Planned stops";

export class StopAnnounce extends reportingCommand.OperatorCommand {
    static override paths = [["stop", "announce"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "Announce a planned stop of instances.",
        details: "The stop covers the union of the instances, racks and availability zones. They are drained, "
            + "rebooted and taken back in waves that keep each profile's availability budget.",
        examples: [["Stop a rack", '$0 stop announce kernel-12 --reason "new kernel" --rack r3']],
    });

    name = clipanion.Option.String({ name: "NAME" });
    reason = clipanion.Option.String("--reason", { required: true, description: "Why, for the other operators." });
    instances = clipanion.Option.Array("--instance", { description: "Instance; may be given again." });
    racks = clipanion.Option.Array("--rack", { description: "Rack; may be given again." });
    zones = clipanion.Option.Array("--zone", { description: "Availability zone; may be given again." });
    deadline = clipanion.Option.String("--deadline", { description: "ISO 8601 time to be finished by." });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const deadline = parseDeadline(this.deadline, this.context.now());
        if (deadline.isErr()) {
            return neverthrow.err(deadline.error);
        }
        const targets = { instances: this.instances, racks: this.racks, availabilityZones: this.zones };
        if (Object.values(targets).every(list => list === undefined)) {
            return invalid("the stop covers nothing", "Give --instance, --rack or --zone.");
        }
        const stop: schema.log.Stop = { name: this.name, reason: this.reason, targets, deadlineAt: deadline.value };
        const result = await client.sendChange(createAnnouncement(stop));
        return result.map(answer => ({
            document: { ...answer, stop: this.name },
            text: `stop ${this.name}: accepted at offset ${answer.offset}; `
                + `follow it with \`catkinwharf stop watch ${this.name}\``,
        }));
    }
}

export class StopCancel extends reportingCommand.OperatorCommand {
    static override paths = [["stop", "cancel"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "Cancel a planned stop; instances already stopped still return.",
    });

    name = clipanion.Option.String({ name: "NAME" });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.sendChange(createCancellation(this.name));
        return result.map(answer => ({
            document: { ...answer, stop: this.name },
            text: `stop ${this.name}: cancelled at offset ${answer.offset}`,
        }));
    }
}

export class StopList extends reportingCommand.OperatorCommand {
    static override paths = [["stop", "list"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "List planned stops and their progress.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.readStatus();
        return result.map(status => {
            const { stops } = status;
            const note = coordinatorNote.createNote(status, stops);
            if (note !== undefined) {
                this.printDiagnostic(note);
            }
            const text = stops.length === 0 ? "no planned stop" : stops.map(rendering.renderProgress).join("\n");
            return { document: { stops }, text };
        });
    }
}

/** Parses an ISO 8601 time to ms since 1970; fails if it isn't after `now`. */
function parseDeadline(
    text: string | undefined,
    now: number,
): neverthrow.Result<number | undefined, commandError.CommandError> {
    if (text === undefined) {
        return neverthrow.ok(undefined);
    }
    const deadlineAt = /^\d{4}-\d\d-\d\dT/.test(text) ? Date.parse(text) : Number.NaN;
    if (Number.isNaN(deadlineAt)) {
        return invalid("--deadline is not an ISO 8601 time", "Give it such as 2026-12-04T18:00:00Z.");
    }
    return deadlineAt > now
        ? neverthrow.ok(deadlineAt)
        : invalid("--deadline has passed", "Give a time that is still to come.");
}

function createAnnouncement(stop: schema.log.Stop): change.Change {
    const body: schema.operator.StopChange = { stop };
    return {
        subject: `stop ${stop.name}`,
        request: { method: "POST", path: "/operator/stops", body, responseTimeoutMs: change.changeTimeoutMs },
        conflictReason: "a stop of this name was announced before",
        conflictNextStep: () => "See `catkinwharf stop list`; if it is another stop, choose another name.",
        unknownNextStep: "Look at `catkinwharf stop list`. Announcing it again under the same name is safe: "
            + "a name is taken only once.",
    };
}

function createCancellation(name: string): change.Change {
    return {
        subject: `stop ${name}`,
        request: {
            method: "DELETE",
            path: `/operator/stops/${encodeURIComponent(name)}`,
            responseTimeoutMs: change.changeTimeoutMs,
        },
        conflictReason: "another change came first",
        conflictNextStep: () => "See `catkinwharf stop list` for its state.",
        unknownNextStep: "Look at `catkinwharf stop list`. Cancelling it again is safe.",
    };
}

function invalid(reason: string, nextStep: string): neverthrow.Result<never, commandError.CommandError> {
    return neverthrow.err(commandError.createError(commandError.CommandFault.invalid, reason, nextStep));
}
