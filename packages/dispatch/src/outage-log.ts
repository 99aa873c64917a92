/** The losses of contact with servers in the last minutes, by which it is judged whether servers were lost together. */
import type * as scheduling from "@catkinwharf/scheduling";

/** Time in ms for which they are kept: the crash of a server may show long after its loss. */
const retention = 120_000;

export class OutageLog {
    #outages: scheduling.Outage[] = [];

    get outages(): readonly scheduling.Outage[] {
        return this.#outages;
    }

    add(outage: scheduling.Outage): void {
        this.#outages = this.#outages.filter(({ lostBy }) => outage.lostBy - lostBy < retention);
        this.#outages.push(outage);
    }
}
