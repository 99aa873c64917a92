/**
 * Reachability of the other open sessions of an availability zone.
 */
import * as fleetState from "@catkinwharf/fleet-state";
import * as fence from "./fence.js";
import * as peerDirectory from "./peer-directory.js";

/**
 * Reachability of each open session of the zone except `own`, counting only answers that promise not to close `own`.
 * `now` is clock time in ms.
 */
export function listZonePeers(
    state: fleetState.FleetState,
    directory: peerDirectory.PeerDirectory,
    availabilityZone: string,
    own: string,
    now: number,
): readonly fence.PeerReachability[] {
    return fleetState.openSessionsOfZone(state, availabilityZone)
        .filter(session => session.session !== own)
        .map(session => directory.classifyByPromise(session.session, now));
}
