/**
 * Cuts availability zones off from each other and from the platform, and heals them, by the faults of the proxy.
 */
import * as controlClient from "./control-client.js";
import * as deploymentPlan from "./deployment-plan.js";
import type * as runningDeployment from "./deployment.js";

/** Cuts off a zone: its own processes still reach each other, and nothing passes its border. */
export async function cutZone(
    running: runningDeployment.RunningDeployment,
    availabilityZone: string,
): Promise<void> {
    running.cutZones.add(availabilityZone);
    running.zoneCuts = [...running.zoneCuts, { availabilityZone, from: Date.now(), until: undefined }];
    await applyCuts(running);
}

/** Lets new connections pass the zone's border again; those that were open stay silent. */
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
    const control = running.proxyControl;
    if (control === undefined) {
        throw new Error("only a proxied deployment can be cut");
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

/** Source prefixes of the zones that can't reach a zone. */
function findBlockedSources(running: runningDeployment.RunningDeployment, availabilityZone: string): string[] {
    const isCut = running.cutZones.has(availabilityZone);
    return running.deployment.availabilityZones
        .map(zone => zone.name)
        .filter(other => other !== availabilityZone && (isCut || running.cutZones.has(other)))
        .map(other => deploymentPlan.findSourcePrefix(running.deployment, other));
}
