/**
 * Network partitions that isolate availability zones from each other and from the platform, by faults of the proxy.
 */
import * as controlClient from "./control-client.js";
import * as deploymentPlan from "./deployment-plan.js";
import type * as runningDeployment from "./running-deployment.js";

/** Isolates a zone: its processes still reach each other, but no traffic enters or leaves the zone. */
export async function cutZone(
    running: runningDeployment.RunningDeployment,
    availabilityZone: string,
): Promise<void> {
    running.cutZones.add(availabilityZone);
    running.zoneCuts = [...running.zoneCuts, { availabilityZone, from: Date.now(), until: undefined }];
    await applyCuts(running);
}

/** Ends the isolation of a zone for new connections; those that were open before stay black-holed. */
export async function healZone(
    running: runningDeployment.RunningDeployment,
    availabilityZone: string,
): Promise<void> {
    running.cutZones.delete(availabilityZone);
    await applyCuts(running);
    running.zoneCuts = running.zoneCuts.map(cut =>
        cut.availabilityZone === availabilityZone && cut.until === undefined ? { ...cut, until: Date.now() } : cut
    );
}

async function applyCuts(running: runningDeployment.RunningDeployment): Promise<void> {
    const control = running.proxyControlPort;
    if (control === undefined) {
        throw new Error("an availability zone can only be cut off in a proxied deployment");
    }
    const entries = deploymentPlan.planEntries(running.deployment);
    const changes = [
        ...entries.map(({ name, availabilityZone }) => ({
            route: `platform/${name}`,
            blackhole: running.cutZones.has(availabilityZone),
        })),
        ...entries.map(({ name, availabilityZone }) => ({
            route: `peer/${name}`,
            blackholeFrom: findBlockedSources(running, availabilityZone),
        })),
        ...running.backendServers.map(({ instance, availabilityZone }) => ({
            route: `backend/${instance}`,
            blackholeFrom: findBlockedSources(running, availabilityZone),
        })),
    ];
    await Promise.all(changes.map(change => controlClient.setFaults(control, change)));
}

/** Prefixes of the source IP addresses of the zones that can't reach a zone. */
function findBlockedSources(running: runningDeployment.RunningDeployment, availabilityZone: string): string[] {
    const isCut = running.cutZones.has(availabilityZone);
    return running.deployment.availabilityZones
        .map(zone => zone.name)
        .filter(other => other !== availabilityZone && (isCut || running.cutZones.has(other)))
        .map(other => deploymentPlan.findSourcePrefix(running.deployment, other));
}
