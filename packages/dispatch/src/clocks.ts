/**
 * The two clocks of a process. Spans are measured on the steady one; it doesn't jump, and stands while the machine is
 * suspended. The time of day is for what callers asked for by the time of day.
 */
export interface Clocks {
    /** Ms since some moment in the past. */
    steady(): number;
    /** Unix time in ms. */
    wall(): number;
}

export const systemClocks: Clocks = { steady: () => performance.now(), wall: () => Date.now() };
