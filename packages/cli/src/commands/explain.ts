/**
 * `catkinwharf explain`: explains the state of an instance, a planned stop or a request.
 */
import * as clipanion from "clipanion";
import * as coordinatorNote from "../coordinator-note.js";
import * as operatorClient from "../operator-client.js";
import * as reportingCommand from "../reporting-command.js";

const category = "Fleet";

abstract class ExplainCommand extends reportingCommand.OperatorCommand {
    name = clipanion.Option.String({ name: "NAME" });
    /** Path segment for the kind of object that is explained. */
    protected abstract readonly collection: string;

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.explain(this.collection, this.name);
        return result.map(answer => ({
            document: answer,
            text: [answer.subject, ...answer.lines.map(line => `  ${line}`)].join("\n"),
        }));
    }
}

export class ExplainInstance extends ExplainCommand {
    static override paths = [["explain", "instance"]];
    static override usage = clipanion.Command.Usage({ category, description: "Say why an instance is where it is." });

    protected readonly collection = "instances";
}

/** Explains a planned stop, with a note if only the coordinator knows what it waits for. */
export class ExplainStop extends ExplainCommand {
    static override paths = [["explain", "stop"]];
    static override usage = clipanion.Command.Usage({ category, description: "Say what a planned stop waits for." });

    protected readonly collection = "stops";

    protected override async runWithClient(
        client: operatorClient.OperatorClient,
    ): Promise<reportingCommand.CommandResult> {
        const result = await super.runWithClient(client);
        const status = result.isOk() ? await client.readStatus() : undefined;
        const note = status?.map(answer =>
            coordinatorNote.createNote(answer, answer.stops.filter(stop => stop.stop === this.name))
        ).unwrapOr(undefined);
        if (note !== undefined) {
            this.printDiagnostic(note);
        }
        return result;
    }
}

/** Explains a request by its idempotency key. */
export class ExplainRequest extends ExplainCommand {
    static override paths = [["explain", "request"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "Say what became of a request, by its idempotency key.",
    });

    protected readonly collection = "requests";
}
