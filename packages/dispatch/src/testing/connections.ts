/** The idle connections of a process to servers in memory. Each leads to the boot with which it was opened. */
import type * as simulatedServer from "./simulated-server.js";

/** A connection that a call has got. */
export interface Connection {
    /** Whether it has carried a response before. */
    readonly isUsed: boolean;
    /** Whether calls on it reach the server as it is now. */
    readonly leadsTo: (server: simulatedServer.SimulatedServer | undefined) => boolean;
    /** Whether the server resets it, as a later boot doesn't know it. */
    readonly isResetBy: (server: simulatedServer.SimulatedServer | undefined) => boolean;
    /** The server has responded on it. */
    readonly release: (server: simulatedServer.SimulatedServer | undefined) => void;
}

export class Connections {
    /** Boot times to which idle connections lead, by address. */
    readonly #idle = new Map<string, number[]>();

    /** @param present the server that has the address; a new connection leads to its boot or, while it is down, to its next one */
    take(address: string, present: simulatedServer.SimulatedServer | undefined): Connection {
        const idle = this.#idle.get(address) ?? [];
        this.#idle.set(address, idle);
        const idleBoot = idle.pop();
        const boot = idleBoot ?? (present?.down === false ? present.bootedAt : undefined);
        return {
            isUsed: idleBoot !== undefined,
            leadsTo: server => server?.down === false && (boot === undefined || server.bootedAt === boot),
            isResetBy: server => server?.down === false && boot !== undefined && server.bootedAt !== boot,
            release: server => {
                if (server !== undefined) {
                    idle.push(server.bootedAt);
                }
            },
        };
    }
}
