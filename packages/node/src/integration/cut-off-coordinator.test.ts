/** A coordinator whose way to the store leads through a slow peer, while that peer could coordinate itself. */
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as fs from "node:fs";
import * as net from "node:net";
import * as uvu from "uvu";
import * as assert from "uvu/assert";

const suite = uvu.suite("cut-off coordinator");
const deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }]);
/** Latency in ms of the store during the test: of each call, also of those that a peer relays. */
const storeLatency = 120;
const jobPath = "/quotes/00000000000000aa";

suite.after(() => deployment.stop());

/** Forwards connections from a port of its own to the store, until it is closed. */
class StoreProxy {
    readonly #sockets = new Set<net.Socket>();
    readonly #server: net.Server;

    constructor(storeAddress: string) {
        const [host, port] = storeAddress.split(":");
        this.#server = net.createServer(client => {
            const store = net.connect(Number(port), host);
            for (const socket of [client, store]) {
                this.#sockets.add(socket);
                socket.on("error", () => undefined); // Both sides are destroyed at the end.
                socket.once("close", () => this.#sockets.delete(socket));
            }
            client.pipe(store).pipe(client);
        });
    }

    /** Returns its address. */
    async start(): Promise<string> {
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${(this.#server.address() as net.AddressInfo).port}`;
    }

    cut(): void {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }
}

function countLines(node: { readonly lines: readonly string[]; }, event: string): number {
    return node.lines.filter(line => line.includes(`"event":"${event}"`)).length;
}

suite(
    "a coordinator goes on for as long as it is cut off from the store, though a peer relays its calls slowly",
    async () => {
        await deployment.start(2, { dispatch: 1 });
        const [cutOff, peer] = deployment.processes;
        await Promise.all([cutOff, peer].map(node => deployment.kill(node!)));
        const proxy = new StoreProxy(deployment.store.address);
        const settings = fs.readFileSync(cutOff!.settingsFile, "utf8");
        fs.writeFileSync(cutOff!.settingsFile, settings.replace(deployment.store.address, await proxy.start()));
        const before = [cutOff, peer].map(node => countLines(node!, "coordinating"));
        deployment.launch(cutOff!);
        await deployment.waitFor("the process behind the proxy coordinates", () => {
            return countLines(cutOff!, "coordinating") > before[0]!;
        });
        deployment.launch(peer!);
        await deployment.waitFor("its peer serves callers from what it has read", async () => {
            return await deployment.isReady(peer!)
                && (await deployment.sendRequest(peer!, "GET", "/quotes/"))?.status === 200;
        });
        deployment.store.delay = storeLatency;
        proxy.cut();
        await deployment.waitFor("the peer coordinates", () => countLines(peer!, "coordinating") > before[1]!);
        assert.is(countLines(cutOff!, "handing-over"), 1);
        deployment.store.delay = 0;
        const body = platformStandIns.createJobBody({ duration: 50 });
        await deployment.waitFor("a job is accepted", async () => {
            return (await deployment.sendRequest(peer!, "POST", jobPath, body))?.status === 200;
        });
        await deployment.waitFor("the job is completed", async () => {
            return (await deployment.sendRequest(peer!, "GET", jobPath))?.body.State === "completed";
        });
        assert.equal(deployment.findDuplicateRuns(), []);
    },
);

suite.run();
