/**
 * Finds the queue of a request: the route with its host and the longest prefix of its path.
 */
import type * as platform from "@catkinwharf/platform";

type Route = platform.operatorRecords.Route;

export interface Match {
    readonly route: Route;
    /** What follows the prefix. */
    readonly rest: string;
}

export class RouteTable {
    readonly #byHost = new Map<string, Route[]>();

    constructor(routes: readonly Route[]) {
        for (const route of routes) {
            const host = route.host.toLowerCase();
            const list = this.#byHost.get(host) ?? [];
            list.push(route);
            this.#byHost.set(host, list);
        }
        for (const list of this.#byHost.values()) {
            list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
    }

    find(host: string, path: string): Match | undefined {
        const name = host.toLowerCase().replace(/:\d+$/, "");
        const route = this.#byHost.get(name)?.find(one => path.startsWith(one.pathPrefix));
        return route === undefined ? undefined : { route, rest: path.slice(route.pathPrefix.length) };
    }
}
