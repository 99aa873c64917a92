/**
 * Creates the initial members and configuration of a simulated fleet.
 */
import type * as schema from "@catkinwharf/schema";

const timeoutMs = 10_000;
const maxQueued = 200;

/** Creates the members of all pools, assigned to the availability zones round-robin and to one rack after the other. */
export function createMembers(deployment: schema.settings.Deployment, spares: number): schema.platform.Member[] {
    const { services, availabilityZones, instancesPerRack, worker } = deployment;
    const total = services.reduce((sum, service) => sum + service.workers, spares);
    return Array.from({ length: total }, (_, index) => {
        const zone = index % availabilityZones.length;
        const rack = Math.floor(Math.floor(index / availabilityZones.length) / instancesPerRack);
        return {
            name: `i-${index}`,
            role: "backend-server",
            availabilityZone: availabilityZones[zone]?.name ?? "",
            rack: `rack-${zone}-${rack}`,
            address: { host: "127.0.0.1", port: 1000 + index },
            state: "live",
            boot: 1,
            slots: worker.slots,
            connections: worker.connections,
            memoryGigabytes: worker.memoryGigabytes,
            accelerators: 0,
        };
    });
}

/** Creates a configuration with a separate pool for each service. */
export function createConfiguration(deployment: schema.settings.Deployment): schema.log.Configuration {
    const { services, sparePool } = deployment;
    return {
        services: services.map(({ name, profile }) => ({ name, profile, pool: name, timeoutMs, maxQueued })),
        pools: services.map(({ name, workers }) => ({ name, instances: workers })),
        sparePool,
    };
}
