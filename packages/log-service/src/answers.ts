/**
 * Turns an HTTP answer of the platform into a checked message or a typed error.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import type * as connection from "./connection.js";

/** Longest part of a refusing answer's body that goes into the error, in characters. */
const maxReasonLength = 200;

/** A generated check of a message. */
export interface Check<Message> {
    (document: unknown): document is Message;
    errors?: Parameters<typeof schema.describeFailure>[0];
}

/** The checked message of an answer: `malformed` if it breaks the schema, `refused` for a status other than 2xx. */
export function readMessage<Message>(
    answer: connection.Answer,
    validate: Check<Message>,
): neverthrow.Result<Message, errors.PlatformError> {
    if (!isSuccess(answer.status)) {
        return neverthrow.err(createRefusal(answer));
    }
    const document = parseBody(answer.body);
    if (!validate(document)) {
        const reason = schema.describeFailure(validate.errors);
        return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.malformed, reason });
    }
    return neverthrow.ok(document);
}

/** Whether a status says that the question was followed. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Oldest offset that a stream keeps, out of an answer with status 410; undefined if it isn't there. */
export function readOldestOffset(answer: connection.Answer): number | undefined {
    const document = parseBody(answer.body);
    const oldest = typeof document === "object" && document
        ? (document as { oldestOffset?: unknown; }).oldestOffset
        : undefined;
    return typeof oldest === "number" && Number.isSafeInteger(oldest) && oldest >= 0 ? oldest : undefined;
}

/** Error for an answer whose status isn't 2xx. */
export function createRefusal(answer: connection.Answer): errors.PlatformError {
    const text = answer.body.subarray(0, maxReasonLength).toString("utf8");
    return {
        layer: "platform",
        fault: errors.PlatformFault.refused,
        reason: `status ${answer.status}${text === "" ? "" : `: ${text}`}`,
    };
}

function parseBody(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
