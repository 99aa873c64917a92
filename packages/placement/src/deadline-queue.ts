/**
 * Waiting requests of one service, ordered by urgency, then by deadline.
 *
 * The queue is a sorted array with a head index. Insertion, removal and finding a rank take a binary search and at most
 * one block copy of the array, whose length the admission keeps small.
 */

/** Function that p-queue runs for a request. */
export type RunFunction = () => Promise<unknown>;

/** Options of a waiting request; p-queue passes on those given to `add`. */
export interface DeadlineQueueOptions {
    /** p-queue's priority: the highest runs first, regardless of urgency. 0 when absent. */
    readonly priority?: number;
    /** Id of the request, used to remove it. */
    readonly id?: string;
    /** Urgency as in RFC 9218: 0 is the most urgent. */
    readonly urgency?: number;
    /** Clock time in ms by which the request must have run; no deadline when absent. */
    readonly deadline?: number;
    /** p-queue's own options, which don't affect the order. */
    readonly timeout?: number;
    readonly signal?: AbortSignal;
}

/** The properties of a waiting request that the admission uses. */
export interface WaitingRequest {
    readonly id: string;
    readonly urgency: number;
    readonly deadline: number;
}

interface QueueEntry extends WaitingRequest {
    readonly priority: number;
    /** Order of arrival, which breaks ties. */
    readonly sequence: number;
    readonly run: RunFunction;
}

/** Maximum number of consumed entries that are kept at the start of the array. */
const maxConsumedEntries = 256;
const leastUrgent = 7;

/** Sorted queue for use as p-queue's `queueClass`. */
export class DeadlineQueue {
    #entries: QueueEntry[] = [];
    #head = 0;
    #nextSequence = 0;
    readonly #byId = new Map<string, QueueEntry>();

    /** Number of waiting requests. */
    get size(): number {
        return this.#entries.length - this.#head;
    }

    /** Adds a request; requests of equal rank keep their order of arrival. */
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

    /** Removes and returns the first request; undefined when none waits. */
    dequeue(): RunFunction | undefined {
        const first = this.#entries[this.#head];
        if (first === undefined) {
            return undefined;
        }
        this.#head++;
        this.#removeFromIndex(first);
        if (this.#head === this.#entries.length || this.#head > maxConsumedEntries) {
            this.#dropConsumed();
        }
        return first.run;
    }

    /** Requests whose options equal the given ones; used by p-queue's `sizeBy`. */
    filter(options: Readonly<Partial<DeadlineQueueOptions>>): RunFunction[] {
        return this.#entries.slice(this.#head)
            .filter(entry => matches(entry, options))
            .map(entry => entry.run);
    }

    /**
     * Changes the priority of a waiting request. Throws a ReferenceError if no request with this id is waiting, as
     * p-queue's own queue does.
     */
    setPriority(id: string, priority: number): void {
        const entry = this.#byId.get(id);
        if (entry === undefined) {
            throw new ReferenceError(`No request with the id "${id}" is waiting.`);
        }
        this.remove(id);
        this.#insert({ ...entry, priority });
    }

    /** Removes a waiting request; false if no request with this id is waiting. */
    remove(id: string): boolean {
        const entry = this.#byId.get(id);
        if (entry === undefined) {
            return false;
        }
        this.#entries.splice(this.#findPosition(entry), 1);
        this.#removeFromIndex(entry);
        return true;
    }

    /** The last request in the order, which is shed first. */
    peekLast(): WaitingRequest | undefined {
        return this.size === 0 ? undefined : this.#entries[this.#entries.length - 1];
    }

    /** Number of waiting requests ahead of a new one with this urgency and deadline. */
    countAhead(urgency: number, deadline: number): number {
        return this.#findPosition({ urgency, deadline, priority: 0, sequence: this.#nextSequence }) - this.#head;
    }

    #insert(entry: QueueEntry): void {
        this.#byId.set(entry.id, entry);
        this.#entries.splice(this.#findPosition(entry), 0, entry);
    }

    #removeFromIndex(entry: QueueEntry): void {
        // Two waiting requests may have the same id; the index then holds the newer one.
        if (this.#byId.get(entry.id) === entry) {
            this.#byId.delete(entry.id);
        }
    }

    #dropConsumed(): void {
        this.#entries.splice(0, this.#head);
        this.#head = 0;
    }

    /** Binary search for the lower bound among the entries that are not consumed. */
    #findPosition(rank: Rank): number {
        let low = this.#head;
        let high = this.#entries.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (compareRanks(this.#entries[middle] as QueueEntry, rank) < 0) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}

type Rank = Pick<QueueEntry, "priority" | "urgency" | "deadline" | "sequence">;

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

function matches(entry: QueueEntry, options: Readonly<Partial<DeadlineQueueOptions>>): boolean {
    return (options.id === undefined || options.id === entry.id)
        && (options.priority === undefined || options.priority === entry.priority)
        && (options.urgency === undefined || options.urgency === entry.urgency)
        && (options.deadline === undefined || options.deadline === entry.deadline);
}
