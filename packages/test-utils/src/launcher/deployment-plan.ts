/**
 * Derives the instances, entry instances and configuration of a deployment from its description.
 */
import type * as schema from "@catkinwharf/schema";

/** An instance and its location. */
export interface PlannedInstance {
    readonly instance: string;
    readonly availabilityZone: string;
    readonly rack: string;
}

/** An entry instance and its location. */
export interface PlannedEntry {
    readonly name: string;
    readonly availabilityZone: string;
    /** Source IP address of its outgoing connections. */
    readonly sourceHost: string;
}

const serviceTimeoutMs = 10_000;
const serviceMaxQueued = 200;

/**
 * Instances from `i-001` on, distributed round-robin over the availability zones and, within each zone, over its racks,
 * so that consecutive instances share neither.
 */
export function planInstances(deployment: schema.settings.Deployment): PlannedInstance[] {
    const zones = deployment.availabilityZones;
    const total = deployment.services.reduce((sum, service) => sum + service.workers, deployment.spareInstances);
    return Array.from({ length: total }, (_, index) => {
        const zone = zones[index % zones.length]!.name;
        const inZone = Math.ceil((total - index % zones.length) / zones.length);
        const racks = Math.ceil(inZone / deployment.instancesPerRack);
        const rack = Math.floor(index / zones.length) % racks + 1;
        return {
            instance: `i-${String(index + 1).padStart(3, "0")}`,
            availabilityZone: zone,
            rack: `rack-${zone}-${rack}`,
        };
    });
}

/** Prefix of the loopback source IP addresses of an availability zone's entry instances. */
export function findSourcePrefix(deployment: schema.settings.Deployment, availabilityZone: string): string {
    const index = deployment.availabilityZones.findIndex(zone => zone.name === availabilityZone);
    return `127.0.${index + 1}.`;
}

/** Entry instances of all availability zones, named after their zone. */
export function planEntries(deployment: schema.settings.Deployment): PlannedEntry[] {
    return deployment.availabilityZones.flatMap(zone =>
        Array.from({ length: zone.entries }, (_, index) => ({
            name: `entry-${zone.name}-${index + 1}`,
            availabilityZone: zone.name,
            sourceHost: `${findSourcePrefix(deployment, zone.name)}${index + 1}`,
        }))
    );
}

/** Configuration with a separate pool for each service. */
export function createConfiguration(deployment: schema.settings.Deployment): schema.log.Configuration {
    return {
        services: deployment.services.map(({ name, profile }) => ({
            name,
            profile,
            pool: name,
            timeoutMs: serviceTimeoutMs,
            maxQueued: serviceMaxQueued,
            idempotentOperations: [],
        })),
        pools: deployment.services.map(({ name, workers }) => ({ name, instances: workers })),
        sparePool: deployment.sparePool,
    };
}

/** Mean service time in ms over all workers, for requests that name no service. */
export function computeMeanServiceMs(deployment: schema.settings.Deployment): number {
    const workers = deployment.services.reduce((sum, service) => sum + service.workers, 0);
    const weightedSum = deployment.services.reduce((sum, service) => sum + service.workers * service.meanServiceMs, 0);
    return workers === 0 ? 0 : weightedSum / workers;
}

/** Two availability zones, two services with two workers each, and one spare instance. */
export function createSmallDeployment(entriesPerZone = 1): schema.settings.Deployment {
    const worker = { cores: 4, memoryGigabytes: 16, slots: 4, connections: 16 };
    return {
        name: "small",
        region: "local",
        availabilityZones: [
            { name: "zone-a", entries: entriesPerZone },
            { name: "zone-b", entries: entriesPerZone },
        ],
        latency: { betweenZonesMs: 0, toCallersMs: 0 },
        services: [
            { name: "previews", workers: 2, profile: "standard", meanServiceMs: 20, idempotentShare: 0.8 },
            { name: "invoices", workers: 2, profile: "standard", meanServiceMs: 20, idempotentShare: 0.2 },
        ],
        profiles: [{
            name: "standard",
            capacity: { slots: 4, connections: 16, memoryGigabytes: 16, accelerators: 0 },
            availability: { maxUnavailableShare: 0.5, minimumInstances: 1 },
            disruption: { drainTimeoutMs: 10_000, checkpoint: false },
            weights: { bufferCost: 1, rollOutTime: 1, moves: 1 },
        }],
        sparePool: "spare",
        spareInstances: 1,
        instancesPerRack: 4,
        worker,
        rebootMs: 500,
    };
}
