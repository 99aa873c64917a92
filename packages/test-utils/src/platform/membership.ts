/**
 * The membership list with its lag, and the reboots that change it.
 */
import type * as schema from "@catkinwharf/schema";

interface MembershipVersion {
    readonly at: number;
    readonly members: ReadonlyMap<string, schema.platform.Member>;
}

/** Members by name, and enough of their past to answer with a lag. */
export class Membership {
    private versions: MembershipVersion[];

    constructor(members: readonly schema.platform.Member[], private readonly lagMs: number) {
        const byName = new Map(members.map(member => [member.name, member]));
        this.versions = [{ at: Number.NEGATIVE_INFINITY, members: byName }];
    }

    /** The member as it is. */
    find(name: string): schema.platform.Member | undefined {
        return this.current.members.get(name);
    }

    /** All members as they are. */
    list(): schema.platform.Member[] {
        return [...this.current.members.values()];
    }

    /** Registers or changes a member. */
    put(member: schema.platform.Member, now: number): void {
        const members = new Map(this.current.members);
        members.set(member.name, member);
        this.versions.push({ at: now, members });
    }

    /** The list as it was the lag ago. */
    read(now: number): schema.platform.MembershipAnswer {
        const asOf = now - this.lagMs;
        const seen = this.versions.findLastIndex(version => version.at <= asOf);
        this.versions = this.versions.slice(Math.max(0, seen));
        return { asOf, members: [...this.versions[0]!.members.values()] };
    }

    private get current(): MembershipVersion {
        return this.versions[this.versions.length - 1]!;
    }
}
