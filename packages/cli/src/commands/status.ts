/**
 * `catkinwharf status`: shows the state of the fleet as one entry instance knows it.
 */
import * as schema from "@catkinwharf/schema";
import * as clipanion from "clipanion";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";

/** Entry instances of an availability zone and their configuration versions. */
export interface ZoneSummary {
    readonly availabilityZone: string;
    readonly entries: number;
    /** Number of entry instances that the queried one can reach. */
    readonly reachable: number;
    readonly lowestVersion: number;
    readonly highestVersion: number;
}

/** Shows versions in force, pools, stops and the coordinator. */
export class Status extends reportingCommand.OperatorCommand {
    static override paths = [["status"]];
    static override usage = clipanion.Command.Usage({
        category: "Fleet",
        description: "Show the configuration in force by entry instance and zone, pools, stops and coordinator.",
        details: "The answer is what the asked entry instance knows. Versions of other entry instances are those of "
            + "their last renewal in the platform's log; one that is not reachable may have gone on since, but never "
            + "back.",
    });

    protected async runWithClient(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const result = await client.readStatus();
        return result.map(status => {
            const current = { ...status, sessions: updateOwnSession(status) };
            const zones = summarizeZones(current.sessions);
            return { document: { ...current, zones }, text: renderStatus(current, zones) };
        });
    }
}

/** The queried entry instance's own version and offset are newer than those in its last session renewal. */
function updateOwnSession(status: schema.operator.StatusAnswer): schema.operator.SessionStatus[] {
    const { configurationVersion, appliedOffset } = status;
    return status.sessions.map(session =>
        session.session === status.session ? { ...session, configurationVersion, appliedOffset } : session
    );
}

/** Summarizes the sessions by availability zone, sorted by name. */
export function summarizeZones(sessions: readonly schema.operator.SessionStatus[]): readonly ZoneSummary[] {
    const zoneNames = [...new Set(sessions.map(session => session.availabilityZone))].sort();
    return zoneNames.map(availabilityZone => {
        const zoneSessions = sessions.filter(session => session.availabilityZone === availabilityZone);
        const versions = zoneSessions.map(session => session.configurationVersion);
        return {
            availabilityZone,
            entries: zoneSessions.length,
            reachable: zoneSessions.filter(session => session.reachable).length,
            lowestVersion: Math.min(...versions),
            highestVersion: Math.max(...versions),
        };
    });
}

function renderStatus(status: schema.operator.StatusAnswer, zones: readonly ZoneSummary[]): string {
    return [
        renderSummary(status),
        rendering.renderTable(createSessionTable(status.sessions), "no entry instance has an open session"),
        rendering.renderTable(createZoneTable(zones), "no availability zone"),
        rendering.renderTable(createPoolTable(status.pools), "no pool"),
        status.stops.length === 0 ? "no planned stop" : status.stops.map(rendering.renderProgress).join("\n"),
    ].join("\n\n");
}

function renderSummary(status: schema.operator.StatusAnswer): string {
    const log = status.blind ? "no contact with the log" : "in contact with the log";
    const coordinatorName = status.sessions.find(session => session.session === status.coordinator)?.entry
        ?? status.coordinator;
    const profiles = status.profiles.map(profile => `${profile.name} ${profile.version}`).join(", ");
    return [
        `asked:         ${status.entry} in ${status.availabilityZone}, ${status.ready ? "ready" : "not ready"}, ${log}`,
        `configuration: version ${status.configurationVersion}, next offset ${status.appliedOffset}`,
        `coordinator:   ${coordinatorName === "" ? "none" : coordinatorName}, epoch ${status.epoch}`,
        `profiles:      ${profiles === "" ? "none" : profiles}`,
    ].join("\n");
}

function createSessionTable(sessions: readonly schema.operator.SessionStatus[]): rendering.Table {
    return {
        columns: ["entry", "zone", "version", "next offset", "last renewal", "homes", "reachable"],
        rows: sessions.map(session => [
            session.entry,
            session.availabilityZone,
            String(session.configurationVersion),
            String(session.appliedOffset),
            rendering.renderTime(session.renewedAt),
            String(session.homes),
            session.reachable ? "yes" : "no",
        ]),
    };
}

function createZoneTable(zones: readonly ZoneSummary[]): rendering.Table {
    return {
        columns: ["zone", "entries", "reachable", "versions in force"],
        rows: zones.map(zone => [
            zone.availabilityZone,
            String(zone.entries),
            String(zone.reachable),
            zone.lowestVersion === zone.highestVersion
                ? String(zone.lowestVersion)
                : `${zone.lowestVersion} to ${zone.highestVersion}`,
        ]),
    };
}

function createPoolTable(pools: readonly schema.operator.PoolStatus[]): rendering.Table {
    return {
        columns: ["pool", "planned", "active", "draining", "stopped", "unhealthy"],
        rows: pools.map(pool => [
            pool.pool,
            ...[pool.planned, pool.active, pool.draining, pool.stopped, pool.unhealthy].map(String),
        ]),
    };
}
