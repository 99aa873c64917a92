/**
 * `catkinwharf move`: lists moves of instances between pools. Operators can't move an instance themselves.
 */
import * as clipanion from "clipanion";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";

/** Lists moves in progress. */
export class MoveList extends reportingCommand.OperatorCommand {
    static override paths = [["move", "list"]];
    static override usage = clipanion.Command.Usage({
        category: "Fleet",
        description: "List the moves of instances between pools that are in progress.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.readMoves();
        return result.map(answer => {
            const columns = ["instance", "from", "to", "phase", "since"];
            const rows = answer.moves.map(move => [
                move.instance,
                move.fromPool,
                move.toPool,
                move.phase,
                rendering.renderTime(move.startedAt),
            ]);
            return { document: answer, text: rendering.renderTable({ columns, rows }, "no move is in progress") };
        });
    }
}
