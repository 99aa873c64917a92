/**
 * Waiting requests of one service, most urgent first, then earliest deadline first.
 *
 * The queue is one sorted array with a moving head. Insertion, removal and rank cost a binary search and one block
 * copy of at most the queue's bound, which the admission keeps small.
 */

/** What p-queue runs. */
export type RunFunction = () => Promise<unknown>;

/** Options of a waiting request; p-queue passes on those given to `add`. */
export interface DeadlineQueueOptions {
    /** p-queue's priority: a greater one goes first, whatever the urgency. 0 when absent. */
    readonly priority?: number;
    /** Id of the request, for removal. */
    readonly id?: string;
    /** Urgency after RFC 9218: 0 goes first. */
    readonly urgency?: number;
    /** Clock time in ms by which the request must have run. Never when absent. */
    readonly deadline?: number;
    /** p-queue's own options, which the order ignores. */
    readonly timeout?: number;
    readonly signal?: AbortSignal;
}

/** A waiting request as the admission sees it. */
export interface WaitingRequest {
    readonly id: string;
    readonly urgency: number;
    readonly deadline: number;
}

interface Waiting extends WaitingRequest {
    readonly priority: number;
    /** Order of arrival, which decides between equals. */
    readonly sequence: number;
    readonly run: RunFunction;
}

/** Consumed places that the array keeps before it is cut. */
const maxConsumed = 256;
const leastUrgent = 7;

/** Sorted queue that serves as p-queue's `queueClass`. */
export class DeadlineQueue {
    #waiting: Waiting[] = [];
    #head = 0;
    #nextSequence = 0;
    readonly #byId = new Map<string, Waiting>();

    /** Number of waiting requests. */
    get size(): number {
        return this.#waiting.length - this.#head;
    }

    /** Adds a request; equals keep their order of arrival. */
    enqueue(run: RunFunction, options?: Partial<DeadlineQueueOptions>): void {
        const sequence = this.#nextSequence++;
        this.#insert({
            run,
            sequence,
            id: options?.id ?? `#${sequence}`,
            priority: options?.priority ?? 0,
            urgency: options?.urgency ?? leastUrgent,
            deadline: options?.deadline ?? Number.POSITIVE_INFINITY,
        });
    }

    /** Takes the request that goes first, or undefined when none waits. */
    dequeue(): RunFunction | undefined {
        const first = this.#waiting[this.#head];
        if (first === undefined) {
            return undefined;
        }
        this.#head++;
        this.#forget(first);
        if (this.#head === this.#waiting.length || this.#head > maxConsumed) {
            this.#cutConsumed();
        }
        return first.run;
    }

    /** Requests whose options equal the given ones; p-queue's `sizeBy` asks this. */
    filter(options: Readonly<Partial<DeadlineQueueOptions>>): RunFunction[] {
        return this.#waiting.slice(this.#head)
            .filter(one => matches(one, options))
            .map(one => one.run);
    }

    /** Gives a waiting request another priority. Throws a ReferenceError for an id that does not wait, as p-queue's own queue does. */
    setPriority(id: string, priority: number): void {
        const waiting = this.#byId.get(id);
        if (waiting === undefined) {
            throw new ReferenceError(`No request with the id "${id}" is waiting.`);
        }
        this.remove(id);
        this.#insert({ ...waiting, priority });
    }

    /** Removes a waiting request; false when none with this id waits. */
    remove(id: string): boolean {
        const waiting = this.#byId.get(id);
        if (waiting === undefined) {
            return false;
        }
        this.#waiting.splice(this.#findPlace(waiting), 1);
        this.#forget(waiting);
        return true;
    }

    /** The request that goes last: the first one to shed. */
    peekWorst(): WaitingRequest | undefined {
        return this.size === 0 ? undefined : this.#waiting[this.#waiting.length - 1];
    }

    /** How many waiting requests would go before a new one with this urgency and deadline. */
    countAhead(urgency: number, deadline: number): number {
        return this.#findPlace({ urgency, deadline, priority: 0, sequence: this.#nextSequence }) - this.#head;
    }

    #insert(waiting: Waiting): void {
        this.#byId.set(waiting.id, waiting);
        this.#waiting.splice(this.#findPlace(waiting), 0, waiting);
    }

    #forget(waiting: Waiting): void {
        if (this.#byId.get(waiting.id) === waiting) {
            this.#byId.delete(waiting.id);
        }
    }

    #cutConsumed(): void {
        this.#waiting.splice(0, this.#head);
        this.#head = 0;
    }

    /** Lower bound by binary search over the live part. */
    #findPlace(wanted: Rank): number {
        let low = this.#head;
        let high = this.#waiting.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (compareRanks(this.#waiting[middle] as Waiting, wanted) < 0) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

type Rank = Pick<Waiting, "priority" | "urgency" | "deadline" | "sequence">;

function compareRanks(left: Rank, right: Rank): number {
    if (left.priority !== right.priority) {
        return right.priority - left.priority;
    }
    if (left.urgency !== right.urgency) {
        return left.urgency - right.urgency;
    }
    if (left.deadline !== right.deadline) {
        return left.deadline < right.deadline ? -1 : 1;
    }
    return left.sequence - right.sequence;
}

function matches(waiting: Waiting, options: Readonly<Partial<DeadlineQueueOptions>>): boolean {
    return (options.id === undefined || options.id === waiting.id)
        && (options.priority === undefined || options.priority === waiting.priority)
        && (options.urgency === undefined || options.urgency === waiting.urgency)
        && (options.deadline === undefined || options.deadline === waiting.deadline);
}
