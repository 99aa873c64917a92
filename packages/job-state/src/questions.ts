/**
 * Questions about jobs that a process passes on to a peer, which may have read more of what is stored, and the peer's
 * answers.
 */
import * as cbor from "cbor-x";
import * as jobs from "./job.js";

/** Asks for the status of a job of a queue, on behalf of an organisation, or of a caller that needs none. */
export interface StatusQuestion {
    readonly kind: "status";
    readonly id: string;
    readonly queue: string;
    readonly organisation: string | undefined;
}

/** Asks how many jobs of a queue wait for their first task to start. */
export interface CountQuestion {
    readonly kind: "count";
    readonly queue: string;
}

export type Question = StatusQuestion | CountQuestion;

export type QuestionAnswer =
    | { readonly kind: "status"; readonly status: jobs.JobStatus; }
    /** There is no such job that the organisation may know of: all that was stored before the question has been read. */
    | { readonly kind: "no-job"; }
    | { readonly kind: "count"; readonly pending: number; }
    /** The peer can't tell, because it hasn't read enough itself. */
    | { readonly kind: "untold"; };

/** Answers that say something. */
export type KnownAnswer = Exclude<QuestionAnswer, { readonly kind: "untold"; }>;

const codec = new cbor.Encoder({ useRecords: false });
const statuses: ReadonlySet<unknown> = new Set(Object.values(jobs.JobStatus));

export function encodeQuestion(question: Question): Uint8Array {
    return codec.encode(question);
}

/** Decodes a question; `undefined` for anything else. */
export function decodeQuestion(encoded: Uint8Array): Question | undefined {
    const { kind, id, queue, organisation } = decodeObject(encoded);
    if (typeof queue !== "string") {
        return undefined;
    }
    if (kind === "count") {
        return { kind, queue };
    }
    const isOrganisation = organisation === undefined || typeof organisation === "string";
    return kind === "status" && typeof id === "string" && isOrganisation
        ? { kind, id, queue, organisation }
        : undefined;
}

export function encodeQuestionAnswer(answer: QuestionAnswer): Uint8Array {
    return codec.encode(answer);
}

/** Decodes the answer to a question; `undefined` for anything else, also for an answer to one of another kind. */
export function decodeQuestionAnswer(encoded: Uint8Array, { kind: asked }: Question): QuestionAnswer | undefined {
    const { kind, status, pending } = decodeObject(encoded);
    if (kind === "untold") {
        return { kind };
    }
    if (asked === "count") {
        return kind === asked && Number.isSafeInteger(pending) ? { kind, pending: pending as number } : undefined;
    }
    if (kind === "no-job") {
        return { kind };
    }
    return kind === asked && statuses.has(status) ? { kind, status: status as jobs.JobStatus } : undefined;
}

function decodeObject(encoded: Uint8Array): Readonly<Record<string, unknown>> {
    try {
        const decoded: unknown = codec.decode(encoded);
        return typeof decoded === "object" && !!decoded ? decoded as Readonly<Record<string, unknown>> : {};
    }
    catch {
        return {};
    }
}
