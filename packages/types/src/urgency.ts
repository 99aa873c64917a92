/**
 * Urgency of a request as defined by RFC 9218: 0 is the most urgent, 7 the least.
 */
export const Urgency = {
    highest: 0,
    default: 3,
    lowest: 7,
} as const;
