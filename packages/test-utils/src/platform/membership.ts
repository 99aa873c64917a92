/**
 * The membership list, which readers see with a lag.
 */
import type * as schema from "@catkinwharf/schema";

interface MembershipVersion {
    readonly at: number;
    readonly members: ReadonlyMap<string, schema.platform.Member>;
}

/** Members by name, with the older versions that a read with the lag needs. */
export class Membership {
    private versions: MembershipVersion[];

    constructor(members: readonly schema.platform.Member[], private readonly lagMs: number) {
        const byName = new Map(members.map(member => [member.name, member]));
        this.versions = [{ at: Number.NEGATIVE_INFINITY, members: byName }];
    }

    /** The current state of a member, without the lag. */
    find(name: string): schema.platform.Member | undefined {
        return this.current.members.get(name);
    }

    /** The current state of all members, without the lag. */
    list(): schema.platform.Member[] {
        return [...this.current.members.values()];
    }

    /** Adds or replaces a member. */
    put(member: schema.platform.Member, now: number): void {
        const members = new Map(this.current.members);
        members.set(member.name, member);
        this.versions.push({ at: now, members });
    }

    /** The list as of `now` minus the lag. */
    read(now: number): schema.platform.MembershipAnswer {
        const asOf = now - this.lagMs;
        const visibleIndex = this.versions.findLastIndex(version => version.at <= asOf);
        this.versions = this.versions.slice(Math.max(0, visibleIndex));
        return { asOf, members: [...this.versions[0]!.members.values()] };
    }

    private get current(): MembershipVersion {
        return this.versions[this.versions.length - 1]!;
    }
}
