/**
 * Connects a service's candidates and server sessions with the reservations that its steps hold from pass to pass.
 */
import * as scheduling from "@catkinwharf/scheduling";
import type * as jobRegistry from "./job-registry.js";
import * as runManager from "./run-manager.js";
import type * as session from "./server-session.js";

/** Reservations of the steps of one service by a coordinator's candidates and servers. */
export class LookAhead {
    readonly reservations: scheduling.Reservations;
    /** Jobs of which a step has a reservation. */
    readonly owners = new Set<jobRegistry.ActiveJob>();

    constructor(policy: scheduling.ReservationPolicy) {
        this.reservations = new scheduling.Reservations(policy);
    }

    /** @param now on the monotonic clock, ms */
    beginPass(
        candidates: readonly jobRegistry.Candidate[],
        open: readonly session.ServerSession[],
        predictEnd: (run: session.ActiveRun) => scheduling.PredictedEnd,
        now: number,
    ): void {
        const waiting = new Set<string>();
        const owners = new Set<jobRegistry.ActiveJob>();
        for (const { active, ready } of this.owners.size === 0 ? [] : candidates) {
            if (this.owners.has(active)) {
                const stepKey = runManager.formatStepKey(active.job.id, ready);
                waiting.add(stepKey);
                if (this.reservations.has(stepKey)) {
                    owners.add(active);
                }
            }
        }
        this.owners.clear();
        owners.forEach(owner => this.owners.add(owner));
        this.reservations.beginPass(
            new Map(open.map(server => [server.entry.id, describeOutlook(server, predictEnd)])),
            stepKey => waiting.has(stepKey),
            now,
        );
    }

    /** Keeps `candidate` and those after it off what the candidates before it have reserved. */
    bindBefore(candidate: jobRegistry.Candidate | undefined, candidates: readonly jobRegistry.Candidate[]): void {
        if (candidate === undefined || this.owners.size === 0) {
            return;
        }
        for (const earlier of candidates) {
            if (earlier === candidate) {
                return;
            }
            if (this.owners.has(earlier.active)) {
                this.reservations.bind(runManager.formatStepKey(earlier.active.job.id, earlier.ready));
            }
        }
    }

    update(
        active: jobRegistry.ActiveJob,
        request: scheduling.PlacementRequest,
        permitted: readonly scheduling.ServerLoad[],
    ): scheduling.ReservationChange | undefined {
        const change = this.reservations.update(request, permitted);
        if (change !== undefined) {
            this.owners.add(active);
        }
        return change;
    }

    /** Ends the reservation of the step, if it has one. */
    drop(active: jobRegistry.ActiveJob, ready: scheduling.ReadyStep): void {
        if (this.owners.has(active)) {
            this.reservations.drop(runManager.formatStepKey(active.job.id, ready));
        }
    }
}

export function describeOutlook(
    server: session.ServerSession,
    predictEnd: (run: session.ActiveRun) => scheduling.PredictedEnd,
): scheduling.ServerOutlook {
    return {
        load: server.load,
        bootId: server.bootId,
        capacity: server.entry,
        predictEnds: () => [...server.runs.values()].filter(run => !run.step.longRunning).map(predictEnd),
    };
}
