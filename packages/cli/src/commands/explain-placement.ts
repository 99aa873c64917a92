/**
 * `catkinwharf explain job` and `catkinwharf explain submission`: where a job would go now, and what it waits for. They
 * change nothing and take no key.
 */
import * as errors from "@catkinwharf/errors";
import * as types from "@catkinwharf/types";
import * as clipanion from "clipanion";
import * as neverthrow from "neverthrow";
import * as fs from "node:fs";
import * as commandError from "../command-error.js";
import * as exitCode from "../exit-code.js";
import * as placementRendering from "../placement-rendering.js";
import * as reportingCommand from "../reporting-command.js";
import * as transport from "../transport.js";

const category = "Fleet";
const nextStep = "Check the address, or ask another entry process with --process.";
/** In ms; an entry process passes the request on for up to 1500 ms. */
const responseTimeout = 4000;

const exitCodes: Readonly<Record<types.Verdict, exitCode.PlacementExitCode>> = {
    running: exitCode.PlacementExitCode.starts,
    starts: exitCode.PlacementExitCode.starts,
    ended: exitCode.PlacementExitCode.starts,
    waits: exitCode.PlacementExitCode.waits,
    refused: exitCode.PlacementExitCode.waits,
};

/** Whether the arguments name a command with `exitCode.PlacementExitCode`. */
export function isPlacementCommand([first, second]: readonly string[]): boolean {
    return first === "explain" && (second === "job" || second === "submission");
}

abstract class ExplainPlacement extends reportingCommand.ReportingCommand {
    address = clipanion.Option.String("--process", {
        required: true,
        description: "HOST:PORT of any entry process's relay, the second of its InternalPorts.",
    });
    #exitCode: exitCode.PlacementExitCode = exitCode.PlacementExitCode.unknown;

    override async execute(): Promise<number> {
        await super.execute();
        return this.#exitCode;
    }

    protected override getErrorCode(): exitCode.ExitCode {
        return exitCode.PlacementExitCode.unknown;
    }

    protected abstract createRequest(): neverthrow.Result<types.ExplanationRequest, commandError.CommandError>;

    protected async runCommand(): Promise<reportingCommand.CommandResult> {
        const request = this.createRequest();
        if (request.isErr()) {
            return neverthrow.err(request.error);
        }
        const url = `http://${this.address}`;
        if (!/^[^/@?#]+:\d+$/.test(this.address) || !URL.canParse(url)) {
            return invalid("the address of the entry process is malformed", "Give --process as HOST:PORT.");
        }
        const agent = transport.createAgent();
        try {
            const response = await transport.sendRequest(agent, { url: new URL(url), operatorKey: undefined }, {
                method: "POST",
                path: types.explanationPath,
                body: request.value,
                responseTimeoutMs: responseTimeout,
            });
            return response.isErr()
                ? unreachable(`the entry process can't be reached: ${response.error.reason}`)
                : this.#report(response.value);
        }
        finally {
            await agent.close();
        }
    }

    #report({ status, document }: transport.HttpResponse): reportingCommand.CommandResult {
        if (status === 200 && isExplanation(document)) {
            this.#exitCode = exitCodes[document.verdict];
            return neverthrow.ok({ document, text: placementRendering.renderExplanation(document) });
        }
        const reason = readError(document);
        if (reason === undefined) {
            return unreachable(`the answer isn't an explanation (HTTP ${status}); is it a relay's port?`);
        }
        return status === 503
            ? unreachable(reason)
            : invalid(reason, "Correct the command. Nothing was sent to a queue.");
    }
}

export class ExplainJob extends ExplainPlacement {
    static override paths = [["explain", "job"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "Say where a job's steps would go now, and what they wait for.",
        examples: [["Explain a job", "$0 explain job 00000000000000aa --process 10.0.0.4:9102"]],
    });

    id = clipanion.Option.String({ name: "ID" });

    protected createRequest(): neverthrow.Result<types.ExplanationRequest, commandError.CommandError> {
        return neverthrow.ok({ job: this.id });
    }
}

/** Explains a submission without sending it. */
export class ExplainSubmission extends ExplainPlacement {
    static override paths = [["explain", "submission"]];
    static override usage = clipanion.Command.Usage({
        category,
        description: "Say where a job would go if it were submitted now, or how it would be refused.",
        examples: [[
            "Explain a submission of organisation acme",
            "$0 explain submission queues.example /quotes/ job.json --organisation acme --process 10.0.0.4:9102",
        ]],
    });

    host = clipanion.Option.String({ name: "HOST" });
    queuePath = clipanion.Option.String({ name: "PATH" });
    file = clipanion.Option.String({ name: "FILE" });
    organisation = clipanion.Option.String("--organisation", { description: "Name of the organisation, not its key." });

    protected createRequest(): neverthrow.Result<types.ExplanationRequest, commandError.CommandError> {
        try {
            const body = fs.readFileSync(this.file, "utf8");
            return neverthrow.ok({ host: this.host, path: this.queuePath, body, organisation: this.organisation });
        }
        catch (thrown) {
            return invalid(`the file can't be read: ${errors.getErrorMessage(thrown)}`, "Name a readable file.");
        }
    }
}

function isExplanation(document: unknown): document is types.PlacementExplanation {
    return typeof document === "object" && Boolean(document) && "verdict" in document!
        && Object.hasOwn(exitCodes, String(document.verdict)) && "steps" in document && Array.isArray(document.steps);
}

function readError(document: unknown): string | undefined {
    const error = typeof document === "object" && document && "error" in document ? document.error : undefined;
    return typeof error === "string" ? error : undefined;
}

function unreachable(reason: string): neverthrow.Result<never, commandError.CommandError> {
    return neverthrow.err(commandError.createError(commandError.CommandFault.unreachable, reason, nextStep));
}

function invalid(reason: string, next: string): neverthrow.Result<never, commandError.CommandError> {
    return neverthrow.err(commandError.createError(commandError.CommandFault.invalid, reason, next));
}
