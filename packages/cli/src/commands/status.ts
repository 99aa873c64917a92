/**
 * `catkinwharf status`: the fleet as one entry instance sees it.
 */
import * as schema from "@catkinwharf/schema";
import * as clipanion from "clipanion";
import * as operatorClient from "../operator-client.js";
import * as rendering from "../rendering.js";
import * as reportingCommand from "../reporting-command.js";

/** The configuration in force in an availability zone. */
export interface ZoneSummary {
    readonly availabilityZone: string;
    readonly entries: number;
    /** Entry instances that the one that was asked reaches. */
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

    protected async ask(client: operatorClient.OperatorClient): Promise<reportingCommand.CommandResult> {
        const answered = await client.readStatus();
        return answered.map(status => {
            const current = { ...status, sessions: updateOwnSession(status) };
            const zones = summarizeZones(current.sessions);
            return { document: { ...current, zones }, text: renderStatus(current, zones) };
        });
    }
}

/** The asked entry instance knows its own version better than its last renewal does. */
function updateOwnSession(status: schema.operator.StatusAnswer): schema.operator.SessionStatus[] {
    const { configurationVersion, appliedOffset } = status;
    return status.sessions.map(session =>
        session.session === status.session ? { ...session, configurationVersion, appliedOffset } : session
    );
}

/** Lowest and highest version in force by availability zone, in order of name. */
export function summarizeZones(sessions: readonly schema.operator.SessionStatus[]): readonly ZoneSummary[] {
    const names = [...new Set(sessions.map(session => session.availabilityZone))].sort();
    return names.map(availabilityZone => {
        const members = sessions.filter(session => session.availabilityZone === availabilityZone);
        const versions = members.map(session => session.configurationVersion);
        return {
            availabilityZone,
            entries: members.length,
            reachable: members.filter(session => session.reachable).length,
            lowestVersion: Math.min(...versions),
            highestVersion: Math.max(...versions),
        };
    });
}

function renderStatus(status: schema.operator.StatusAnswer, zones: readonly ZoneSummary[]): string {
    return [
        renderHead(status),
        rendering.renderTable(createSessionTable(status.sessions), "no entry instance has an open session"),
        rendering.renderTable(createZoneTable(zones), "no availability zone"),
        rendering.renderTable(createPoolTable(status.pools), "no pool"),
        status.stops.length === 0 ? "no planned stop" : status.stops.map(rendering.renderProgress).join("\n"),
    ].join("\n\n");
}

function renderHead(status: schema.operator.StatusAnswer): string {
    const log = status.blind ? "no contact with the log" : "in contact with the log";
    const holder = status.sessions.find(session => session.session === status.coordinator)?.entry ?? status.coordinator;
    const profiles = status.profiles.map(profile => `${profile.name} ${profile.version}`).join(", ");
    return [
        `asked:         ${status.entry} in ${status.availabilityZone}, ${status.ready ? "ready" : "not ready"}, ${log}`,
        `configuration: version ${status.configurationVersion}, next offset ${status.appliedOffset}`,
        `coordinator:   ${holder === "" ? "none" : holder}, epoch ${status.epoch}`,
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
