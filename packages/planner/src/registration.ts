/**
 * Instances that the membership list shows and the fleet state doesn't know, or the other way round.
 */
import type * as fleetState from "@catkinwharf/fleet-state";
import type * as schema from "@catkinwharf/schema";
import * as balance from "./balance.js";
import type * as context from "./context.js";
import type * as draft from "./draft.js";

/** Absence after which an instance is unregistered, in ms. */
const goneAfterMs = 600_000;
/** Share of a zone's instances above which absence is taken for a partition and not for lost instances. */
const maxAbsentShare = 0.5;

interface Place {
    readonly pool: string;
    readonly rack: string;
    readonly availabilityZone: string;
}

/** Registers new members, takes over changed addresses and sizes, and unregisters what is gone for long. */
export function planRegistrations(given: context.PlanContext): draft.DecisionDraft[] {
    return [...registerNew(given), ...updateChanged(given), ...unregisterGone(given)];
}

/** The pool furthest below its plan chooses first, the member that spreads it most; the rest goes to the spare pool. */
function registerNew(given: context.PlanContext): draft.DecisionDraft[] {
    const unknown = given.members.filter(member =>
        isUsable(member) && !given.state.instances.has(member.name) && !given.isPending(member.name)
    );
    const shortfalls = measureShortfalls(given);
    const places = listPlaces(given.state);
    const drafts: draft.DecisionDraft[] = [];
    while (unknown.length > 0) {
        const pool = findShortest(shortfalls) ?? given.configuration.sparePool;
        const member = takeBest(unknown, pool, places);
        shortfalls.set(pool, (shortfalls.get(pool) ?? 0) - 1);
        places.push({ pool, rack: member.rack, availabilityZone: member.availabilityZone });
        drafts.push({ kind: "instance-registered", instance: describeMember(member), pool });
    }
    return drafts;
}

function updateChanged(given: context.PlanContext): draft.DecisionDraft[] {
    const drafts: draft.DecisionDraft[] = [];
    for (const member of given.members) {
        const known = given.state.instances.get(member.name);
        if (known !== undefined && isUsable(member) && !given.isPending(member.name) && hasChanged(known, member)) {
            drafts.push({ kind: "instance-registered", instance: describeMember(member), pool: known.pool });
        }
    }
    return drafts;
}

function unregisterGone(given: context.PlanContext): draft.DecisionDraft[] {
    return [...given.state.instances.values()]
        .filter(instance => instance.phase === "active" && !given.isPending(instance.instance.name))
        .filter(instance => isGone(given, instance) && !given.isZoneCutOff(instance.instance.availabilityZone))
        .map(instance => ({ kind: "instance-unregistered", instance: instance.instance.name }));
}

function isGone(given: context.PlanContext, instance: fleetState.InstanceState): boolean {
    const { name } = instance.instance;
    const since = given.observations.getAbsentSince(name);
    return since !== undefined
        && given.now - since >= goneAfterMs
        && (given.observations.findMember(name)?.state ?? "gone") === "gone";
}

/** Availability zones of which so many instances are absent that they are cut off rather than lost. */
export function listCutOffZones(
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

function measureShortfalls(given: context.PlanContext): Map<string, number> {
    const balances = balance.measureBalances(given.state, () => false);
    const shortfalls = new Map([...balances].map(([pool, { difference }]) => [pool, -difference]));
    for (const one of given.input.pending ?? []) {
        if (one.kind === "instance-registered" && !given.state.instances.has(one.instance.name)) {
            shortfalls.set(one.pool, (shortfalls.get(one.pool) ?? 0) - 1);
        }
    }
    return shortfalls;
}

function findShortest(shortfalls: ReadonlyMap<string, number>): string | undefined {
    let shortest: string | undefined;
    let greatest = 0;
    for (const [pool, shortfall] of shortfalls) {
        if (shortfall > greatest) {
            shortest = pool;
            greatest = shortfall;
        }
    }
    return shortest;
}

function listPlaces(state: fleetState.FleetState): Place[] {
    return [...state.instances.values()].map(({ pool, instance }) => ({
        pool,
        rack: instance.rack,
        availabilityZone: instance.availabilityZone,
    }));
}

function takeBest(
    members: schema.platform.Member[],
    pool: string,
    places: readonly Place[],
): schema.platform.Member {
    const own = places.filter(place => place.pool === pool);
    const crowding = members.map(member => measureCrowding(member, own));
    const best = crowding.indexOf(Math.min(...crowding));
    return members.splice(best, 1)[0] as schema.platform.Member;
}

/** Greater for a place that holds more of the pool: racks count first, then availability zones. */
export function measureCrowding(place: Omit<Place, "pool">, own: readonly Place[]): number {
    const inRack = own.filter(other => other.rack === place.rack).length;
    const inZone = own.filter(other => other.availabilityZone === place.availabilityZone).length;
    return inRack * (own.length + 1) + inZone;
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
