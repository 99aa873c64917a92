/**
 * Decides by the lists of machines which backend servers are lost, so that none of their runs can be running any more.
 *
 * A server is lost if the machine that was listed with it is listed with another one or with none, or if no machine is
 * listed with it for several complete lists in a row, also if the coordinator never saw a list that named it, unless such
 * lists omitted it while it responded. Neither a removed registration nor a refused connection proves a loss, as a server may
 * be cut off and run on; and nothing does while the server responds, or in a list that was requested before its last response.
 */
import * as platform from "@catkinwharf/platform";

/**
 * Complete lists in a row that omit something until it counts as gone. One alone proves nothing: a list comes in pages, and
 * a row that moves to another page between two calls is missed.
 */
export const missedListsUntilGone = 5;

export const LossKind = {
    /** No order and no shutdown is known that explains it. */
    crash: "crash",
    /** Its machine was moved or maintained. */
    ordered: "ordered",
    /** No machine is listed with it; on which it was isn't known, or that is gone. */
    unlisted: "unlisted",
} as const;
export type LossKind = (typeof LossKind)[keyof typeof LossKind];

export interface ServerLoss {
    /** ID of the server. */
    readonly server: string;
    readonly kind: LossKind;
    /** For the log. */
    readonly evidence: string;
    /** On the monotonic clock: the server was gone then, but may have started again since under its ID. */
    readonly goneAt: number;
}

/** What the coordinator knows of a server. */
export interface ServerContact {
    readonly id: string;
    readonly reachable: boolean;
    /** On the monotonic clock, in ms; when the coordinator began to call it, if it never responded. */
    readonly lastAnswerAt: number;
    /** Whether runs may be under way on it. */
    readonly hasRuns: boolean;
}

/** A read of the list of machines. */
export interface MachineList {
    readonly machines: readonly platform.machineCalls.Machine[];
    /** Whether all pages were read, and each row could be. */
    readonly complete: boolean;
    /** On the monotonic clock, in ms: when the first page was requested. */
    readonly requestedAt: number;
}

/** States of a machine that another server, or none, leaves unexplained. */
const unexplainedStates: ReadonlySet<platform.machineCalls.MachineState> = new Set([
    platform.machineCalls.MachineState.up,
    platform.machineCalls.MachineState.down,
]);

export class ServerLosses {
    /** Machine that was last listed with each server, by server ID, until the server's loss is reported. */
    readonly #machines = new Map<string, string>();
    /** Number of complete lists in a row without the server, by server ID. */
    readonly #missedLists = new Map<string, number>();
    /** Servers that a complete list omitted while they responded. */
    readonly #omittedAlive = new Set<string>();
    readonly #orderedAway = new Set<string>();

    /** An order has taken the server away, so that its loss is no crash. */
    recordOrder(server: string): void {
        this.#orderedAway.add(server);
    }

    /**
     * Applies a list, and returns the servers that it shows as lost.
     *
     * @param orderedMachines machines for which an order is in flight
     */
    apply(
        list: MachineList,
        contacts: readonly ServerContact[],
        orderedMachines: ReadonlySet<string>,
    ): ServerLoss[] {
        const rows = new Map(list.machines.map(machine => [machine.id, machine]));
        const named = new Set<string>();
        for (const { id, server } of list.machines) {
            if (server !== "") {
                named.add(server);
                this.#machines.set(server, id);
                this.#missedLists.delete(server);
                this.#omittedAlive.delete(server);
            }
        }
        const byId = new Map(contacts.map(contact => [contact.id, contact]));
        const losses: ServerLoss[] = [];
        for (const id of new Set([...this.#machines.keys(), ...byId.keys()])) {
            const contact = byId.get(id);
            if (named.has(id)) {
                continue;
            }
            if (contact?.reachable === true) {
                this.#missedLists.delete(id);
                if (list.complete && !this.#machines.has(id)) {
                    this.#omittedAlive.add(id);
                }
                continue;
            }
            // A server without a contact may be one whose runs ended with its lease; a crash of it still counts.
            const isNews = contact === undefined || contact.lastAnswerAt <= list.requestedAt;
            const loss = isNews ? this.#judge(id, contact, rows, list, orderedMachines) : undefined;
            if (loss !== undefined) {
                losses.push(loss);
                this.#machines.delete(id);
                this.#missedLists.delete(id);
                this.#orderedAway.delete(id);
            }
        }
        return losses;
    }

    #judge(
        server: string,
        contact: ServerContact | undefined,
        rows: ReadonlyMap<string, platform.machineCalls.Machine>,
        { complete, requestedAt }: MachineList,
        orderedMachines: ReadonlySet<string>,
    ): ServerLoss | undefined {
        const machine = rows.get(this.#machines.get(server) ?? "");
        if (machine !== undefined) {
            const isExplained = this.#orderedAway.has(server) || orderedMachines.has(machine.id)
                || !unexplainedStates.has(machine.state);
            const kind = isExplained ? LossKind.ordered : LossKind.crash;
            return { server, kind, evidence: `machine ${machine.id} is ${machine.state}`, goneAt: requestedAt };
        }
        if (!complete || this.#omittedAlive.has(server)) {
            return undefined;
        }
        const missed = (this.#missedLists.get(server) ?? 0) + 1;
        this.#missedLists.set(server, missed);
        return missed < missedListsUntilGone || (contact !== undefined && !contact.hasRuns)
            ? undefined
            : { server, kind: LossKind.unlisted, evidence: `${missed} lists without it`, goneAt: requestedAt };
    }
}
