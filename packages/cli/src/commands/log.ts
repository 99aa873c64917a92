/**
 * `catkinwharf log`: reads the fleet's records from the platform's log.
 */
import * as schema from "@catkinwharf/schema";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";
import * as wholeNumber from "../whole-number.js";

/** Without --from, the command starts this many records before the head of the log. */
const defaultRecordCount = 100;
/** Verdict on records that changed the fleet state. */
const appliedVerdict = "applied";
/** Kinds of renewal records. They are left out without --all, because entry instances append them every second. */
const renewalKinds: ReadonlySet<unknown> = new Set(["session-renewed", "lease-renewed"]);
const pageSize = 200;
const pollMs = 1_000;

/** Prints the newest records, and with --follow also those that are appended later. */
export class LogTail extends reportingCommand.OperatorCommand {
    static override paths = [["log", "tail"]];
    static override usage = clipanion.Command.Usage({
        category: "Fleet",
        description: "Print the newest records of the fleet's log, with what became of each.",
        details: "Renewals of sessions and of the coordinator lease are left out without --all. With --json, one JSON "
            + "document a line.",
    });

    from = clipanion.Option.String("--from", { description: "Offset to start at." });
    all = clipanion.Option.Boolean("--all", false, { description: "Show renewals too." });
    follow = clipanion.Option.Boolean("--follow", false, { description: "Go on with new records until interrupted." });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const from = wholeNumber.parseWholeNumber("--from", this.from);
        const status = from.isOk() ? await client.readStatus() : neverthrow.err(from.error);
        if (from.isErr() || status.isErr()) {
            return neverthrow.err(from.isErr() ? from.error : status._unsafeUnwrapErr());
        }
        const headOffset = status.value.appliedOffset;
        return this.#printFrom(client, from.value ?? Math.max(0, headOffset - defaultRecordCount), headOffset);
    }

    async #printFrom(
        client: operatorClient.OperatorClient,
        startOffset: number,
        headOffset: number,
    ): Promise<reportingCommand.CommandResult> {
        let offset = startOffset;
        while (this.follow || offset < headOffset) {
            const page = await client.readLog(offset, pageSize);
            if (page.isErr()) {
                return neverthrow.err(page.error);
            }
            this.#printPage(page.value, offset);
            const isAtEnd = page.value.nextOffset <= offset;
            offset = Math.max(offset, page.value.nextOffset);
            if (this.context.signal.aborted || isAtEnd && !this.follow) {
                break;
            }
            if (isAtEnd) {
                await this.context.sleep(pollMs);
            }
        }
        return neverthrow.ok(undefined);
    }

    #printPage(page: schema.operator.LogAnswer, from: number): void {
        if (page.oldestOffset > from) {
            this.printDiagnostic(`note: records ${from} to ${page.oldestOffset - 1} are no longer kept`);
        }
        const shown = page.entries.filter(entry => this.all || !renewalKinds.has(entry.body["kind"]));
        for (const entry of shown) {
            this.print(this.json ? JSON.stringify(entry) : renderEntry(entry));
        }
    }
}

function renderEntry(entry: schema.operator.LogEntry): string {
    const details = Object.entries(entry.body).filter(([name]) => !["kind", "id", "author"].includes(name));
    const isApplied = entry.verdict === undefined || entry.verdict === appliedVerdict;
    const verdict = isApplied ? "" : ` [changed nothing: ${entry.verdict}]`;
    const prefix = `${entry.offset} ${rendering.renderTime(entry.appendedAt)} ${String(entry.body["kind"])}`;
    return `${prefix} by ${String(entry.body["author"])}${verdict} ${JSON.stringify(Object.fromEntries(details))}`;
}
