/**
 * Sentences for the reason codes with which the fold refuses an operator's change.
 */

/** What a code means, and what the operator does about it. */
export interface Refusal {
    readonly text: string;
    readonly nextStep: string | undefined;
}

const refusals: ReadonlyMap<string, Refusal> = new Map<string, Refusal>([
    ["malformed", { text: "the record does not follow its schema", nextStep: undefined }],
    ["profile-unknown", {
        text: "a service names a profile that was not published",
        nextStep: "Publish it first, with `catkinwharf profile publish FILE`; `catkinwharf profile list` shows those "
            + "there are.",
    }],
    ["pool-not-listed", {
        text: "a service names a pool that is not among the pools",
        nextStep: "Add the pool to the file, or correct the service.",
    }],
    ["pool-repeated", {
        text: "a pool is named twice, or the spare pool is among the pools",
        nextStep: "Name each pool once, and the spare pool only as sparePool.",
    }],
    ["service-repeated", { text: "a service is named twice", nextStep: "Name each service once." }],
    ["stop-unknown", { text: "there is no such stop", nextStep: "See `catkinwharf stop list`." }],
    ["stop-cancelled", { text: "the stop was cancelled before", nextStep: "See `catkinwharf stop list`." }],
    ["stop-finished", { text: "the stop has finished", nextStep: "See `catkinwharf stop list`." }],
]);

/** Explains a reason; one that is not a known code is passed on as it is. */
export function explainRefusal(reason: string): Refusal {
    const refusal = refusals.get(reason);
    return refusal === undefined
        ? { text: reason, nextStep: undefined }
        : { text: `${refusal.text} (${reason})`, nextStep: refusal.nextStep };
}
