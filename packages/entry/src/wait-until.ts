/**
 * Waiting for a promise with a deadline.
 */

/** Waits for the promise's value; undefined if it is not settled by `deadline` (clock time in ms). */
export async function waitUntil<Value>(
    promise: Promise<Value>,
    deadline: number,
    clock: () => number,
): Promise<Value | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<undefined>(resolve => {
        timer = setTimeout(() => resolve(undefined), Math.max(0, deadline - clock()));
    });
    try {
        return await Promise.race([promise, timeout]);
    }
    finally {
        clearTimeout(timer);
    }
}
