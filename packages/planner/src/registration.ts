/**
 * Brings the registered instances in line with the membership list.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";
import type * as draft from "./draft.js";
import type * as planContext from "./plan-context.js";

/** Time for which an instance must not be live before it is unregistered, in ms. */
const unregisterAfterMs = 600_000;
/** Share of instances that are not live above which a zone counts as partitioned rather than its instances as lost. */
const maxNotLiveShare = 0.5;

interface Location {
    readonly pool: string;
    readonly rack: string;
    readonly availabilityZone: string;
}

/** Registers new members, updates changed addresses and capacities, and unregisters departed instances. */
export function planRegistrations(context: planContext.PlanContext): draft.DecisionDraft[] {
    return [...registerNew(context), ...updateChanged(context), ...unregisterDeparted(context)];
}

/**
 * Assigns new members to pools. In each step the pool with the largest deficit gets the member whose rack and zone hold
 * the fewest of its instances. Once no pool has a deficit, the members go to the spare pool.
 */
function registerNew(context: planContext.PlanContext): draft.DecisionDraft[] {
    const unregistered = context.members.filter(member =>
        isUsable(member) && !context.state.instances.has(member.name) && !context.isPending(member.name)
    );
    const deficits = computeDeficits(context);
    const locations = listLocations(context.state);
    const drafts: draft.DecisionDraft[] = [];
    while (unregistered.length > 0) {
        const pool = findPoolWithLargestDeficit(deficits) ?? context.configuration.sparePool;
        const member = removeLeastColocated(unregistered, pool, locations);
        deficits.set(pool, (deficits.get(pool) ?? 0) - 1);
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
            && hasChangedInPlace(registered, member)
        ) {
            drafts.push({ kind: "instance-registered", instance: describeMember(member), pool: registered.pool });
        }
    }
    return drafts;
}

function unregisterDeparted(context: planContext.PlanContext): draft.DecisionDraft[] {
    return [...context.state.instances.values()]
        .filter(instance => instance.phase === "active" && !context.isPending(instance.instance.name))
        .filter(instance =>
            shouldUnregister(context, instance) && !context.isZonePartitioned(instance.instance.availabilityZone)
        )
        .map(instance => ({ kind: "instance-unregistered", instance: instance.instance.name }));
}

/** Whether the instance has not been live for long enough, and the platform lists it as gone or not at all. */
function shouldUnregister(context: planContext.PlanContext, instance: fleetState.InstanceState): boolean {
    const { name } = instance.instance;
    const notLiveSince = context.observations.getNotLiveSince(name);
    return notLiveSince !== undefined
        && context.now - notLiveSince >= unregisterAfterMs
        && (context.observations.findMember(name)?.state ?? "gone") === "gone";
}

/**
 * Availability zones with so many instances that are not live that a network partition is more likely than their loss.
 */
export function listPartitionedZones(
    state: fleetState.FleetState,
    isNotLive: (instance: string) => boolean,
): ReadonlySet<string> {
    const totals = new Map<string, { total: number; notLive: number; }>();
    for (const [name, { instance }] of state.instances) {
        const zone = totals.get(instance.availabilityZone) ?? { total: 0, notLive: 0 };
        zone.total++;
        zone.notLive += isNotLive(name) ? 1 : 0;
        totals.set(instance.availabilityZone, zone);
    }
    return new Set(
        [...totals].filter(([, { total, notLive }]) => total > 1 && notLive > total * maxNotLiveShare).map((
            [zone],
        ) => zone),
    );
}

/**
 * Number of instances that each pool lacks. Lost instances count as present: they are replaced by moves of spare
 * instances and not by new members.
 */
function computeDeficits(context: planContext.PlanContext): Map<string, number> {
    const balances = balance.computeBalances(context.state, () => false);
    const deficits = new Map([...balances].map(([pool, { surplus }]) => [pool, -surplus]));
    for (const decision of context.input.pending ?? []) {
        if (decision.kind === "instance-registered" && !context.state.instances.has(decision.instance.name)) {
            deficits.set(decision.pool, (deficits.get(decision.pool) ?? 0) - 1);
        }
    }
    return deficits;
}

function findPoolWithLargestDeficit(deficits: ReadonlyMap<string, number>): string | undefined {
    let selected: string | undefined;
    let largest = 0;
    for (const [pool, deficit] of deficits) {
        if (deficit > largest) {
            selected = pool;
            largest = deficit;
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

function removeLeastColocated(
    members: schema.platform.Member[],
    pool: string,
    locations: readonly Location[],
): schema.platform.Member {
    const poolLocations = locations.filter(location => location.pool === pool);
    const colocations = members.map(member => computeColocation(member, poolLocations));
    const best = colocations.indexOf(Math.min(...colocations));
    return members.splice(best, 1)[0] as schema.platform.Member;
}

/** Higher for a location that holds more of the pool's instances: by rack first, then by availability zone. */
export function computeColocation(location: Omit<Location, "pool">, poolLocations: readonly Location[]): number {
    const inSameRack = poolLocations.filter(other => other.rack === location.rack).length;
    const inSameZone = poolLocations.filter(other => other.availabilityZone === location.availabilityZone).length;
    return inSameRack * (poolLocations.length + 1) + inSameZone;
}

function isUsable(member: schema.platform.Member): boolean {
    return member.role === "backend-server" && member.state === "live";
}

/**
 * Whether the address or a capacity has changed; not for a member in another rack or zone, whose
 * registration the log would ignore.
 */
function hasChangedInPlace({ instance }: fleetState.InstanceState, member: schema.platform.Member): boolean {
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
