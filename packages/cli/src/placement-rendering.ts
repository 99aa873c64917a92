/**
 * Renders an explanation of a placement for the terminal.
 */
import * as types from "@catkinwharf/types";
import * as rendering from "./rendering.js";

/** Servers in the table of a step; `--json` has more. */
const maxServers = 10;

const verdicts: Readonly<Record<types.Verdict, string>> = {
    running: "is running",
    starts: "can start now",
    waits: "waits",
    refused: "would be refused",
    ended: "has ended",
};

const blockers: Readonly<Record<types.Blocker, string>> = {
    notReady: "it isn't ready",
    quota: "the organisation's quota is in use",
    runs: "the coordinator has as many runs under way as it has memory for",
    ticket: "it has no ticket of the advice service",
    rate: "it is beyond the organisation's committed rate, and steps within theirs wait for room",
    servers: "no server has room for it and may take it",
};

export function renderExplanation(explanation: types.PlacementExplanation): string {
    const { verdict, job, status, queue, service, refusal, startDelay, nextDue, steps, stepsLeftOut } = explanation;
    const subject = job === undefined ? "the submission" : `job ${job}`;
    return [
        `${subject} ${verdicts[verdict]}${status === undefined ? "" : ` (status ${status})`}`,
        ...refusal === undefined ? [] : [renderRefusal(refusal)],
        ...queue === undefined ? [] : [`queue ${queue}, service ${service ?? "unknown: the queue has no route"}`],
        ...renderOrganisation(explanation.organisation),
        ...startDelay === undefined || startDelay === 0 ? [] : [`start delay of the coordinator: ${startDelay} ms`],
        ...nextDue === undefined ? [] : [`next occurrence due in ${nextDue} ms`],
        ...steps.flatMap(step => ["", ...renderStep(step)]),
        ...stepsLeftOut === 0 ? [] : ["", `${stepsLeftOut} more steps aren't shown`],
    ].join("\n");
}

function renderRefusal({ status, reason, wait }: NonNullable<types.PlacementExplanation["refusal"]>): string {
    return `refusal: ${status}, ${reason}${wait === undefined ? "" : `; expected wait ${wait} ms`}`;
}

function renderOrganisation(organisation: types.OrganisationExplanation | undefined): readonly string[] {
    if (organisation === undefined) {
        return ["organisation: none"];
    }
    const { name, usage, quota, weight, share, beyondRate } = organisation;
    const rate = weight === 0 ? "none" : `${weight} jobs/s, ${beyondRate ? "beyond it" : "within it"}`;
    const amounts = (["cpu", "memory", "accelerators"] as const)
        .map(resource => `${resource} ${usage[resource]} of ${quota[resource] === 0 ? "no limit" : quota[resource]}`);
    return [
        `organisation ${name}: committed rate ${rate}; share ${share.toFixed(3)}`,
        `quota in use: ${amounts.join(", ")}`,
    ];
}

function renderStep(step: types.StepExplanation): readonly string[] {
    const { placements, reservation, predictedStart, runningOn, blocker } = step;
    const listed = step.servers.slice(0, maxServers);
    const rows = listed.map(({ server, lacks, wait, reservedFor }) => [
        server,
        lacks.length === 0 ? "nothing" : lacks.join(", "),
        wait === undefined ? "-" : String(wait),
        reservedFor ?? "-",
    ]);
    const counts = Object.entries(step.lackCounts).map(([lack, count]) => `${lack} ${count}`).join(", ");
    const runs = runningOn.length === 0 ? "" : `, running on ${listServers(runningOn)}`;
    const before = step.readyTasks === 0 ? "" : `, ${step.stepsBefore} steps before it`;
    return [
        `step ${step.step} of occurrence ${step.occurrence}: ${step.readyTasks} of ${step.tasks} tasks ready${runs}${before}`,
        ...step.waitsForSteps.length === 0 ? [] : [`  waits for steps ${step.waitsForSteps.join(", ")}`],
        ...blocker === undefined ? [] : [`  waits: ${blockers[blocker]}`],
        ...step.readyTasks > step.allowedByQuota ? [`  the quota lets ${step.allowedByQuota} tasks start`] : [],
        ...placements.length === 0 ? [] : [`  would start now on ${listServers(placements)}`],
        ...step.needsTicket ? ["  each start needs a ticket of the advice service"] : [],
        ...reservation === undefined
            ? []
            : [`  has reserved ${reservation.server}, predicted in ${reservation.wait} ms`],
        ...step.readyTasks === 0
            ? []
            : [`  predicted start: ${predictedStart === undefined ? "not known" : `in ${predictedStart} ms`}`],
        ...counts === "" ? [] : [`  of ${step.serverCount} servers lack: ${counts}`],
        ...rows.length === 0 ? [] : indent(rendering.renderTable({
            columns: ["server", "lacks", "room in ms", "reserved for"],
            rows,
        }, "")),
        ...step.serverCount > listed.length && step.readyTasks > 0
            ? [`  ${step.serverCount - listed.length} more servers aren't shown`]
            : [],
    ];
}

/** Names each server once, with the number of tasks if it has several. */
function listServers(servers: readonly string[]): string {
    const counts = new Map<string, number>();
    servers.forEach(server => counts.set(server, (counts.get(server) ?? 0) + 1));
    return [...counts].map(([server, count]) => count === 1 ? server : `${server} (${count})`).join(", ");
}

function indent(text: string): readonly string[] {
    return text.split("\n").map(line => `  ${line}`);
}
