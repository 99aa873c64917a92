/**
 * Records which servers each recent request failed on, to distinguish faulty requests from faulty servers.
 */

/** Number of distinct servers on which a request must fail before the request itself counts as faulty. */
export const requestFaultThreshold = 2;
/** Maximum number of recorded requests; the oldest are evicted first. */
const maxRequests = 10_000;

const noInstances: ReadonlySet<string> = new Set();

interface FailedRequest {
    readonly instances: Set<string>;
    faulty: boolean;
}

/** Bounded record of failed requests. */
export class RequestFailures {
    readonly #requests = new Map<string, FailedRequest>();

    /** Records a failure and returns the number of distinct servers that the request has failed on. */
    add(requestId: string, instance: string): number {
        const request = this.#findOrCreate(requestId);
        request.instances.add(instance);
        return request.instances.size;
    }

    /** Servers that the request has failed on. The set grows with further failures, so callers must not keep it. */
    list(requestId: string): ReadonlySet<string> {
        return this.#requests.get(requestId)?.instances ?? noInstances;
    }

    /** Marks the request as faulty and returns the servers that its failures were attributed to. */
    markFaulty(requestId: string): readonly string[] {
        const request = this.#findOrCreate(requestId);
        request.faulty = true;
        return [...request.instances];
    }

    /** Whether the request counts as faulty, so that its failures are ignored. */
    isFaulty(requestId: string): boolean {
        return this.#requests.get(requestId)?.faulty ?? false;
    }

    #findOrCreate(requestId: string): FailedRequest {
        const known = this.#requests.get(requestId);
        if (known !== undefined) {
            return known;
        }
        const created = { instances: new Set<string>(), faulty: false };
        this.#requests.set(requestId, created);
        if (this.#requests.size > maxRequests) {
            const [oldest] = this.#requests.keys();
            this.#requests.delete(oldest as string);
        }
        return created;
    }
}
