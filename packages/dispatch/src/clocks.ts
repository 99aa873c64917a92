/**
 * The two clocks of a process. Durations are measured on the monotonic clock, which never jumps and stops while the
 * machine is suspended. The wall clock serves what callers schedule by the time of day.
 */
export interface Clocks {
    /** Monotonic time in ms since an arbitrary origin. */
    steady(): number;
    /** Unix time in ms. */
    wall(): number;
}

export const systemClocks: Clocks = { steady: () => performance.now(), wall: () => Date.now() };
