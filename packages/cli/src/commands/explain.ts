/**
 * `catkinwharf explain`: says why an instance, a planned stop or a request is where it is.
 */
import * as clipanion from "clipanion";
import * as coordinatorNote from "../coordinator-note.js";
import * as operatorClient from "../operator-client.js";
import * as reportingCommand from "../reporting-command.js";

const category = "Fleet";

abstract class ExplainCommand extends reportingCommand.OperatorCommand {
    name = clipanion.Option.String({ name: "NAME" });
    /** Part of the path that names what is explained. */
    protected abstract readonly collection: string;

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const answered = await client.explain(this.collection, this.name);
        return answered.map(answer => ({
            document: answer,
            text: [answer.subject, ...answer.lines.map(line => `  ${line}`)].join("\n"),
        }));
    }
}

/** Explains an instance. */
export class ExplainInstance extends ExplainCommand {
    static override paths = [["explain", "instance"]];
    static override usage = clipanion.Command.Usage({ category, description: "Say why an instance is where it is." });

    protected readonly collection = "instances";
}

/** Explains a planned stop. */
export class ExplainStop extends ExplainCommand {
    static override paths = [["explain", "stop"]];
    static override usage = clipanion.Command.Usage({ category, description: "Say what a planned stop waits for." });

    protected readonly collection = "stops";

    protected override async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const explained = await super.ask(client);
        const status = explained.isOk() ? await client.readStatus() : undefined;
        const note = status?.map(answer =>
            coordinatorNote.describeCoordinator(answer, answer.stops.filter(stop => stop.stop === this.name))
        ).unwrapOr(undefined);
        if (note !== undefined) {
            this.notify(note);
        }
        return explained;
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
