/**
 * Fault-injecting TCP proxy with one listening port for each route.
 */
import type * as http from "node:http";
import * as polka from "polka";
import * as standIn from "../stand-in.js";
import * as route from "./route.js";

/** Options of the process, read as JSON from its command line. */
export interface ProxyOptions {
    readonly controlPort?: number;
    readonly routes: readonly route.RouteOptions[];
}

/** Faults for one route, for all routes (`*`), or for those whose names start with a prefix (`prefix*`). */
export interface RouteFaultChange extends route.RouteFaults {
    readonly route: string;
}

/** Control port of the proxy, and the port of each route by name. */
export interface ProxyPorts {
    readonly controlPort: number;
    readonly ports: Readonly<Record<string, number>>;
}

/** Routes and control port of the proxy. */
export class FaultProxy {
    private readonly routes = new Map<string, route.Route>();

    constructor(private readonly options: ProxyOptions) {}

    /** Listens on all ports. */
    async start(): Promise<ProxyPorts> {
        const ports: Record<string, number> = {};
        for (const options of this.options.routes) {
            ports[options.name] = await this.putRoute(options);
        }
        const control = polka.default()
            .post("/faults", standIn.handle((...exchange) => this.changeFaults(...exchange)))
            .post("/routes", standIn.handle((...exchange) => this.handlePutRoute(...exchange)));
        return { controlPort: await standIn.serve(control, this.options.controlPort), ports };
    }

    /** Adds a route, or redirects the route of this name to a new target. */
    private async putRoute(options: route.RouteOptions): Promise<number> {
        const known = this.routes.get(options.name);
        if (known !== undefined) {
            return known.redirect(options);
        }
        const created = new route.Route(options);
        this.routes.set(options.name, created);
        return created.start();
    }

    private async handlePutRoute(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const options = await standIn.readJson(request) as route.RouteOptions;
        standIn.sendJson(response, 200, { port: await this.putRoute(options) });
    }

    private async changeFaults(request: polka.Request, response: http.ServerResponse): Promise<void> {
        const { route: pattern, ...faults } = await standIn.readJson(request) as RouteFaultChange;
        const matching = this.findRoutes(pattern);
        if (matching.length === 0) {
            standIn.sendJson(response, 404, { reason: `no route ${pattern}` });
            return;
        }
        await Promise.all(matching.map(found => found.changeFaults(faults)));
        standIn.sendJson(response, 200, { routes: matching.length });
    }

    private findRoutes(pattern: string): route.Route[] {
        const isPrefix = pattern.endsWith("*");
        const prefix = pattern.slice(0, -1);
        return [...this.routes]
            .filter(([name]) => isPrefix ? name.startsWith(prefix) : name === pattern)
            .map(([, found]) => found);
    }
}
