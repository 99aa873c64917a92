/**
 * Time that moves only when a test lets it: the timers of Node.js and both clocks of a process follow it.
 *
 * Each timer is followed by all promise callbacks that it sets off, before the next one.
 */
import * as module from "node:module";
import type * as clocks from "../clocks.js";

type Callback = () => void;

interface Timer {
    readonly at: number;
    readonly order: number;
    readonly callback: Callback;
    readonly interval: number | undefined;
}

/** Unix time in ms at the beginning. */
const wallStart = 1_800_000_000_000;

const promiseTimers = module.createRequire(import.meta.url)("node:timers/promises") as {
    setTimeout: (delay?: number) => Promise<void>;
};

export class VirtualTime {
    now = 0;
    readonly clock: clocks.Clocks = { monotonic: () => this.now, wall: () => wallStart + this.now };
    readonly #timers = new Map<number, Timer>();
    #lastId = 0;
    readonly #realTimers = {
        setTimeout: globalThis.setTimeout,
        clearTimeout: globalThis.clearTimeout,
        setInterval: globalThis.setInterval,
        clearInterval: globalThis.clearInterval,
    };
    readonly #realPromiseTimer = promiseTimers.setTimeout;

    /**
     * Replaces the timers of this process until `uninstall`.
     *
     * @param handle calls the callback of a timer that has expired, at once or when the process has time for it
     */
    install(handle: (callback: Callback) => void = callback => callback()): void {
        const cancel = (id: unknown) => void this.#timers.delete(Number(id));
        Object.assign(globalThis, {
            setTimeout: (callback: Callback, delay = 0) => this.schedule(() => handle(callback), delay),
            setInterval: (callback: Callback, delay: number) => this.#addInterval(callback, delay, handle),
            clearTimeout: cancel,
            clearInterval: cancel,
        });
        promiseTimers.setTimeout = (delay = 0) =>
            new Promise(resolve => void this.schedule(() => handle(resolve), delay));
        module.syncBuiltinESMExports();
    }

    uninstall(): void {
        Object.assign(globalThis, this.#realTimers);
        promiseTimers.setTimeout = this.#realPromiseTimer;
        module.syncBuiltinESMExports();
        this.#timers.clear();
    }

    /** Calls back after `delay` ms of this time; returns the timer's ID. */
    schedule(callback: Callback, delay: number): number {
        return this.#add(callback, delay, undefined);
    }

    /** Lets time pass until `end`. */
    async runUntil(end: number): Promise<void> {
        for (let next = this.#findNext(); next !== undefined && next[1].at <= end; next = this.#findNext()) {
            const [id, timer] = next;
            this.now = Math.max(this.now, timer.at);
            this.#timers.delete(id);
            if (timer.interval !== undefined) {
                this.#timers.set(id, { ...timer, at: this.now + timer.interval, order: ++this.#lastId });
            }
            timer.callback();
            await new Promise(resolve => setImmediate(resolve));
        }
        this.now = end;
    }

    /** An interval of Node.js doesn't expire again before its callback was called. */
    #addInterval(callback: Callback, delay: number, handle: (callback: Callback) => void): number {
        let waiting = false;
        return this.#add(
            () => {
                if (!waiting) {
                    waiting = true;
                    handle(() => {
                        waiting = false;
                        callback();
                    });
                }
            },
            delay,
            delay,
        );
    }

    #add(callback: Callback, delay: number, interval: number | undefined): number {
        const id = ++this.#lastId;
        this.#timers.set(id, { at: this.now + Math.max(0, delay), order: id, callback, interval });
        return id;
    }

    #findNext(): [number, Timer] | undefined {
        let found: [number, Timer] | undefined;
        for (const entry of this.#timers) {
            const [, { at, order }] = entry;
            if (found === undefined || at < found[1].at || (at === found[1].at && order < found[1].order)) {
                found = entry;
            }
        }
        return found;
    }
}
