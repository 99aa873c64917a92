/**
 * Maps a request to the route of its queue, by host and by longest matching path prefix.
 */
import type * as platform from "@catkinwharf/platform";

type Route = platform.operatorRecords.Route;

export interface RouteMatch {
    readonly route: Route;
    /** The part of the path after the prefix: a job id, or empty for the queue itself. */
    readonly rest: string;
}

export class RouteTable {
    readonly #byHost = new Map<string, Route[]>();

    constructor(routes: readonly Route[]) {
        for (const route of routes) {
            const host = route.host.toLowerCase();
            const hostRoutes = this.#byHost.get(host) ?? [];
            hostRoutes.push(route);
            this.#byHost.set(host, hostRoutes);
        }
        for (const hostRoutes of this.#byHost.values()) {
            hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
    }

    /** @param host value of the Host header; a port in it is ignored */
    find(host: string, path: string): RouteMatch | undefined {
        const name = host.toLowerCase().replace(/:\d+$/, "");
        const route = this.#byHost.get(name)?.find(candidate => path.startsWith(candidate.pathPrefix));
        return route === undefined ? undefined : { route, rest: path.slice(route.pathPrefix.length) };
    }
}
