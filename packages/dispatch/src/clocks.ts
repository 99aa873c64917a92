/**
 * The two clocks of a process. The monotonic clock measures durations: it never jumps, but stands still while the host
 * is suspended. The wall clock serves times that are stored or come from callers, and durations that must include a
 * suspension.
 */
export interface Clocks {
    /** Monotonic time in ms since an arbitrary origin. */
    monotonic(): number;
    /** Unix time in ms. */
    wall(): number;
}

export const systemClocks: Clocks = { monotonic: () => performance.now(), wall: () => Date.now() };
