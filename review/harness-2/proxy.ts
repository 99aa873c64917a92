/**
 * A TCP proxy whose open connections can go silent for good, without a reset, while new ones work.
 */
import * as testUtils from "@catkinwharf/test-utils";
import * as net from "node:net";

export class Proxy {
    readonly #connections = new Set<{ readonly near: net.Socket; readonly far: net.Socket; }>();
    readonly #server = net.createServer(near => this.#open(near));
    #port = 0;

    /** @param target host and port, separated by a colon */
    constructor(private readonly target: string) {}

    async start(): Promise<string> {
        this.#port = await testUtils.listen(this.#server, 0);
        return `${testUtils.loopbackHost}:${this.#port}`;
    }

    stop(): void {
        this.#server.close();
        for (const { near, far } of this.#connections) {
            near.destroy();
            far.destroy();
        }
    }

    /** Number of open connections. */
    get size(): number {
        return this.#connections.size;
    }

    /** From now on the open connections carry nothing any more; new ones are carried. Returns how many went silent. */
    silence(): number {
        const { size } = this.#connections;
        for (const { near, far } of this.#connections) {
            near.unpipe(far);
            far.unpipe(near);
            near.resume();
            far.resume();
        }
        return size;
    }

    #open(near: net.Socket): void {
        const [host, port] = this.target.split(":");
        const far = net.connect(Number(port), host);
        const connection = { near, far };
        near.setNoDelay(true);
        far.setNoDelay(true);
        this.#connections.add(connection);
        near.pipe(far);
        far.pipe(near);
        const close = () => {
            this.#connections.delete(connection);
            near.destroy();
            far.destroy();
        };
        near.on("close", close).on("error", close);
        far.on("close", close).on("error", close);
    }
}
