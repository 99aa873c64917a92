/**
 * Which servers each recent request failed on, to tell a request's own fault from a server's.
 */

/** Distinct servers that a request must fail on before the fault is its own. */
export const serversBeforeRequestIsAtFault = 2;
/** Requests that are remembered; the oldest are forgotten first. */
const maxRequests = 10_000;

const noInstances: ReadonlySet<string> = new Set();

interface FailedRequest {
    readonly instances: Set<string>;
    forgiven: boolean;
}

/** Bounded memory of failed requests. */
export class FailureLedger {
    readonly #requests = new Map<string, FailedRequest>();

    /** Notes a failure and returns the number of distinct servers that the request has failed on. */
    add(requestId: string, instance: string): number {
        const request = this.#find(requestId);
        request.instances.add(instance);
        return request.instances.size;
    }

    /** Servers that the request has failed on; the set must not be kept, since it grows. */
    list(requestId: string): ReadonlySet<string> {
        return this.#requests.get(requestId)?.instances ?? noInstances;
    }

    /** Marks the request as being at fault and returns the servers that were blamed for it. */
    forgive(requestId: string): readonly string[] {
        const request = this.#find(requestId);
        request.forgiven = true;
        return [...request.instances];
    }

    /** Whether failures of the request no longer count. */
    isForgiven(requestId: string): boolean {
        return this.#requests.get(requestId)?.forgiven ?? false;
    }

    #find(requestId: string): FailedRequest {
        const known = this.#requests.get(requestId);
        if (known !== undefined) {
            return known;
        }
        const created = { instances: new Set<string>(), forgiven: false };
        this.#requests.set(requestId, created);
        if (this.#requests.size > maxRequests) {
            const [oldest] = this.#requests.keys();
            this.#requests.delete(oldest as string);
        }
        return created;
    }
}
