/**
 * A link to a stand-in, which can be partitioned. As on a partitioned network, a connection that exists stays open and
 * its bytes are held up; they are lost if their sender resets the connection, and arrive after the partition if its
 * process ended. A new connection can't be made.
 */
import * as net from "node:net";

/**
 * Times in ms after which TCP sends bytes again that weren't acknowledged: its shortest timeout is 200 ms and doubles
 * with each attempt.
 */
const retransmissions = [200, 600, 1400, 3000, 6200, 12_600];

export class Link {
    port = 0;
    /** Called when bytes arrive from a process, before they are passed on. */
    onBytes: (bytes: Buffer) => void = () => undefined;
    #isCut = false;
    readonly #sockets = new Set<net.Socket>();
    readonly #server = net.createServer({ allowHalfOpen: true }, client => this.#connect(client));
    #target = 0;

    async start(target: number): Promise<void> {
        this.#target = target;
        await new Promise<void>(resolve => this.#server.listen(0, "127.0.0.1", resolve));
        this.port = (this.#server.address() as net.AddressInfo).port;
    }

    cut(): void {
        this.#isCut = true;
    }

    heal(): void {
        this.#isCut = false;
    }

    stop(): void {
        this.#server.close();
        this.#sockets.forEach(socket => socket.destroy());
    }

    #connect(client: net.Socket): void {
        this.#sockets.add(client);
        client.on("error", () => undefined); // Handled as a reset below.
        client.once("close", () => this.#sockets.delete(client));
        if (this.#isCut) {
            return; // It never gets an answer, and nothing that is sent on it arrives.
        }
        const target = net.connect({ port: this.#target, host: "127.0.0.1", allowHalfOpen: true });
        this.#sockets.add(target);
        target.once("close", () => this.#sockets.delete(target));
        target.on("error", () => client.destroy());
        target.on("data", bytes => {
            if (!this.#isCut) {
                client.write(bytes);
            }
        });
        target.on("end", () => client.end());
        let isReset = false;
        client.once("error", () => {
            isReset = true;
            target.destroy();
        });
        client.on("data", bytes => {
            this.onBytes(bytes);
            if (this.#isCut) {
                void this.#deliverLater(bytes, target, () => isReset);
            }
            else {
                target.write(bytes);
            }
        });
        client.on("end", () => {
            if (!this.#isCut) {
                target.end();
            }
        });
    }

    /** Passes bytes on with the first attempt after the partition, unless the sender has reset the connection. */
    async #deliverLater(bytes: Buffer, target: net.Socket, isReset: () => boolean): Promise<void> {
        let waited = 0;
        for (const time of retransmissions) {
            await new Promise(resolve => setTimeout(resolve, time - waited));
            waited = time;
            if (!this.#isCut) {
                break;
            }
        }
        if (!isReset() && !this.#isCut) {
            target.write(bytes);
        }
    }
}
