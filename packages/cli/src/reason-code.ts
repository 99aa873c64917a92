/**
 * Explanations of the reason codes with which an operator's change is refused when its record is applied to the fleet
 * state.
 */

/** What a reason code means, and what the operator should do. */
export interface Explanation {
    readonly text: string;
    readonly nextStep: string | undefined;
}

const explanations: ReadonlyMap<string, Explanation> = new Map<string, Explanation>([
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

/** Explains a reason code; any other text is returned unchanged. */
export function explainReasonCode(reason: string): Explanation {
    const explanation = explanations.get(reason);
    return explanation === undefined
        ? { text: reason, nextStep: undefined }
        : { text: `${explanation.text} (${reason})`, nextStep: explanation.nextStep };
}
