/**
 * Reboots and checkpoints instances and reads their usage, through the control ports of their backend server stand-ins.
 */
import type * as schema from "@catkinwharf/schema";
import * as undici from "undici";
import * as standIn from "../stand-in.js";
import type * as membership from "./membership.js";

/** Control port of each instance's backend server stand-in. */
export type ControlPorts = ReadonlyMap<string, number>;

/** Added to the reboot time, in ms, for an instance whose stand-in did not answer the reboot call. */
const extraRebootWaitMs = 100;

/** Controls the instances of the membership list. */
export class InstanceControl {
    private readonly reboots = new Map<string, Map<string, schema.platform.RebootAnswer>>();
    private readonly rebootChains = new Map<string, Promise<void>>();
    private usage: schema.platform.UsageReport[] = [];

    constructor(
        private readonly members: membership.Membership,
        private readonly controlPorts: ControlPorts,
        private readonly rebootMs: number,
    ) {}

    /** Requests a reboot. Repeats of an ID start no other one, and reboots of one instance run one after the other. */
    reboot(name: string, id: string): schema.platform.RebootAnswer {
        const known = this.findReboot(name, id);
        if (known !== undefined) {
            return known;
        }
        this.record(name, id, "rebooting");
        const previous = this.rebootChains.get(name) ?? Promise.resolve();
        this.rebootChains.set(name, previous.then(() => this.runReboot(name, id)));
        return this.findReboot(name, id)!;
    }

    /** State of a requested reboot. */
    findReboot(name: string, id: string): schema.platform.RebootAnswer | undefined {
        return this.reboots.get(name)?.get(id);
    }

    /** Forwards a checkpoint request to the backend server stand-in. */
    async checkpoint(name: string): Promise<void> {
        await this.call(name, "POST", "/checkpoint");
    }

    /** Usage reports of the latest sample. */
    readUsage(): schema.platform.UsageAnswer {
        return { reports: this.usage };
    }

    /** Reads the usage of all backend server stand-ins. The previous report is kept for one that doesn't answer. */
    async sampleUsage(now: number): Promise<void> {
        const reports = await Promise.all(this.members.list().map(member => this.sampleMember(member, now)));
        this.usage = reports.filter(report => report !== undefined);
    }

    private async sampleMember(
        member: schema.platform.Member,
        now: number,
    ): Promise<schema.platform.UsageReport | undefined> {
        const answer = await this.call(member.name, "GET", "/usage");
        if (answer === undefined) {
            return this.usage.find(report => report.instance === member.name);
        }
        const runningTasks = (answer as { runningTasks: number; }).runningTasks;
        const share = member.slots === 0 ? 0 : runningTasks / member.slots;
        return { instance: member.name, asOf: now, runningTasks, memoryGigabytes: share * member.memoryGigabytes };
    }

    private async runReboot(name: string, id: string): Promise<void> {
        this.updateMember(name, { state: "gone" });
        const answered = await this.call(name, "POST", "/reboot", { downMs: this.rebootMs });
        if (answered === undefined) {
            await new Promise(resolve => setTimeout(resolve, this.rebootMs + extraRebootWaitMs));
        }
        this.updateMember(name, { state: "live", boot: (this.members.find(name)?.boot ?? 0) + 1 });
        this.record(name, id, "done");
    }

    private updateMember(name: string, fields: Partial<schema.platform.Member>): void {
        const member = this.members.find(name);
        if (member !== undefined) {
            this.members.put({ ...member, ...fields }, Date.now());
        }
    }

    private record(name: string, id: string, state: schema.platform.RebootAnswer["state"]): void {
        const instanceReboots = this.reboots.get(name) ?? new Map<string, schema.platform.RebootAnswer>();
        instanceReboots.set(id, { state, boot: this.members.find(name)?.boot ?? 0 });
        this.reboots.set(name, instanceReboots);
    }

    /** Calls the stand-in's control port; `undefined` if there is none or it doesn't answer. */
    private async call(name: string, method: "GET" | "POST", path: string, body?: object): Promise<unknown> {
        const port = this.controlPorts.get(name);
        if (port === undefined) {
            return undefined;
        }
        try {
            const answer = await undici.request(`http://${standIn.loopbackHost}:${port}${path}`, {
                method,
                body: body === undefined ? undefined : JSON.stringify(body),
            });
            return await answer.body.json();
        }
        catch {
            return undefined;
        }
    }
}
