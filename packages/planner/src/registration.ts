/**
 * Brings the registered instances in line with the membership list.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";
import type * as draft from "./draft.js";
import type * as planContext from "./plan-context.js";

/** Absence after which an instance is unregistered, in ms. */
const unregisterAfterMs = 600_000;
/** Share of absent instances above which a zone counts as partitioned rather than its instances as lost. */
const maxAbsentShare = 0.5;

interface Location {
    readonly pool: string;
    readonly rack: string;
    readonly availabilityZone: string;
}

/** Registers new members, updates changed addresses and capacities, and unregisters instances that stay absent. */
export function planRegistrations(context: planContext.PlanContext): draft.DecisionDraft[] {
    return [...registerNew(context), ...updateChanged(context), ...unregisterGone(context)];
}

/**
 * Assigns new members to pools. Each goes to the pool with the largest shortfall, which gets the member from the rack
 * and zone where it has the fewest instances. Members that no pool lacks go to the spare pool.
 */
function registerNew(context: planContext.PlanContext): draft.DecisionDraft[] {
    const unregistered = context.members.filter(member =>
        isUsable(member) && !context.state.instances.has(member.name) && !context.isPending(member.name)
    );
    const shortfalls = computeShortfalls(context);
    const locations = listLocations(context.state);
    const drafts: draft.DecisionDraft[] = [];
    while (unregistered.length > 0) {
        const pool = findPoolWithLargestShortfall(shortfalls) ?? context.configuration.sparePool;
        const member = removeLeastCrowded(unregistered, pool, locations);
        shortfalls.set(pool, (shortfalls.get(pool) ?? 0) - 1);
        locations.push({ pool, rack: member.rack, availabilityZone: member.availabilityZone });
        drafts.push({ kind: "instance-registered", instance: describeMember(member), pool });
    }
    return drafts;
}

function updateChanged(context: planContext.PlanContext): draft.DecisionDraft[] {
    const drafts: draft.DecisionDraft[] = [];
    for (const member of context.members) {
        const registered = context.state.instances.get(member.name);
        if (
            registered !== undefined && isUsable(member) && !context.isPending(member.name)
            && hasChanged(registered, member)
        ) {
            drafts.push({ kind: "instance-registered", instance: describeMember(member), pool: registered.pool });
        }
    }
    return drafts;
}

function unregisterGone(context: planContext.PlanContext): draft.DecisionDraft[] {
    return [...context.state.instances.values()]
        .filter(instance => instance.phase === "active" && !context.isPending(instance.instance.name))
        .filter(instance => isGone(context, instance) && !context.isZonePartitioned(instance.instance.availabilityZone))
        .map(instance => ({ kind: "instance-unregistered", instance: instance.instance.name }));
}

function isGone(context: planContext.PlanContext, instance: fleetState.InstanceState): boolean {
    const { name } = instance.instance;
    const absentSince = context.observations.getAbsentSince(name);
    return absentSince !== undefined
        && context.now - absentSince >= unregisterAfterMs
        && (context.observations.findMember(name)?.state ?? "gone") === "gone";
}

/** Availability zones with so many absent instances that a network partition is more likely than their loss. */
export function listPartitionedZones(
    state: fleetState.FleetState,
    isAbsent: (instance: string) => boolean,
): ReadonlySet<string> {
    const totals = new Map<string, { total: number; absent: number; }>();
    for (const [name, { instance }] of state.instances) {
        const zone = totals.get(instance.availabilityZone) ?? { total: 0, absent: 0 };
        zone.total++;
        zone.absent += isAbsent(name) ? 1 : 0;
        totals.set(instance.availabilityZone, zone);
    }
    return new Set(
        [...totals].filter(([, { total, absent }]) => total > 1 && absent > total * maxAbsentShare).map(([zone]) =>
            zone
        ),
    );
}

function computeShortfalls(context: planContext.PlanContext): Map<string, number> {
    const balances = balance.computeBalances(context.state, () => false);
    const shortfalls = new Map([...balances].map(([pool, { difference }]) => [pool, -difference]));
    for (const decision of context.input.pending ?? []) {
        if (decision.kind === "instance-registered" && !context.state.instances.has(decision.instance.name)) {
            shortfalls.set(decision.pool, (shortfalls.get(decision.pool) ?? 0) - 1);
        }
    }
    return shortfalls;
}

function findPoolWithLargestShortfall(shortfalls: ReadonlyMap<string, number>): string | undefined {
    let selected: string | undefined;
    let largest = 0;
    for (const [pool, shortfall] of shortfalls) {
        if (shortfall > largest) {
            selected = pool;
            largest = shortfall;
        }
    }
    return selected;
}

function listLocations(state: fleetState.FleetState): Location[] {
    return [...state.instances.values()].map(({ pool, instance }) => ({
        pool,
        rack: instance.rack,
        availabilityZone: instance.availabilityZone,
    }));
}

function removeLeastCrowded(
    members: schema.platform.Member[],
    pool: string,
    locations: readonly Location[],
): schema.platform.Member {
    const poolLocations = locations.filter(location => location.pool === pool);
    const crowding = members.map(member => computeCrowding(member, poolLocations));
    const best = crowding.indexOf(Math.min(...crowding));
    return members.splice(best, 1)[0] as schema.platform.Member;
}

/** Higher for a location that holds more of the pool's instances: by rack first, then by availability zone. */
export function computeCrowding(location: Omit<Location, "pool">, poolLocations: readonly Location[]): number {
    const inSameRack = poolLocations.filter(other => other.rack === location.rack).length;
    const inSameZone = poolLocations.filter(other => other.availabilityZone === location.availabilityZone).length;
    return inSameRack * (poolLocations.length + 1) + inSameZone;
}

function isUsable(member: schema.platform.Member): boolean {
    return member.role === "backend-server" && member.state === "live";
}

function hasChanged({ instance }: fleetState.InstanceState, member: schema.platform.Member): boolean {
    return instance.rack === member.rack
        && instance.availabilityZone === member.availabilityZone
        && (instance.address.host !== member.address.host
            || instance.address.port !== member.address.port
            || instance.slots !== member.slots
            || instance.connections !== member.connections
            || instance.memoryGigabytes !== member.memoryGigabytes
            || instance.accelerators !== member.accelerators);
}

function describeMember(member: schema.platform.Member): schema.log.Instance {
    return {
        name: member.name,
        availabilityZone: member.availabilityZone,
        rack: member.rack,
        address: member.address,
        slots: member.slots,
        connections: member.connections,
        memoryGigabytes: member.memoryGigabytes,
        accelerators: member.accelerators,
    };
}
