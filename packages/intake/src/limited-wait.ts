/** Waits that end. */
import * as timers from "node:timers/promises";

/** The result of `work`; `undefined` if it isn't there within `time` ms. */
export async function waitFor<Result>(time: number, work: Promise<Result>): Promise<Result | undefined> {
    const timeout = new AbortController();
    const expired = timers.setTimeout(Math.max(0, time), undefined, { signal: timeout.signal }).catch(() => undefined);
    try {
        return await Promise.race([work, expired]);
    }
    finally {
        timeout.abort();
    }
}
