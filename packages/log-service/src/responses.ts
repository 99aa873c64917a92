/**
 * Parses and validates HTTP responses of the platform.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";
import type * as connection from "./connection.js";

/** Maximum number of bytes of an error response's body that are included in the error. */
const maxReasonLength = 200;

/** Generated validator of a message. */
export interface Validator<Message> {
    (document: unknown): document is Message;
    errors?: Parameters<typeof schema.describeFailure>[0];
}

/**
 * Parses the body of a response. Fails as `refused` if the status isn't 2xx, and as `malformed` if the body doesn't
 * match the schema.
 */
export function parseMessage<Message>(
    response: connection.HttpResponse,
    validate: Validator<Message>,
): neverthrow.Result<Message, errors.PlatformError> {
    if (!isSuccess(response.status)) {
        return neverthrow.err(createRefusedError(response));
    }
    const document = parseBody(response.body);
    if (!validate(document)) {
        const reason = schema.describeFailure(validate.errors);
        return neverthrow.err({ layer: "platform", fault: errors.PlatformFault.malformed, reason });
    }
    return neverthrow.ok(document);
}

/** Whether the status is 2xx. */
export function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

/** Parses the oldest offset that a stream keeps from a response with status 410; undefined if missing or invalid. */
export function parseOldestOffset(response: connection.HttpResponse): number | undefined {
    const document = parseBody(response.body);
    const oldest = typeof document === "object" && document
        ? (document as { oldestOffset?: unknown; }).oldestOffset
        : undefined;
    return typeof oldest === "number" && Number.isSafeInteger(oldest) && oldest >= 0 ? oldest : undefined;
}

/** Creates the error for a response whose status isn't 2xx. */
export function createRefusedError(response: connection.HttpResponse): errors.PlatformError {
    const text = response.body.subarray(0, maxReasonLength).toString("utf8");
    return {
        layer: "platform",
        fault: errors.PlatformFault.refused,
        reason: `status ${response.status}${text === "" ? "" : `: ${text}`}`,
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
