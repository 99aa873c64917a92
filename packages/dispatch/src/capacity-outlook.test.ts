/** Which waits the coordinator publishes, by which other processes refuse jobs. */
import * as jobState from "@catkinwharf/job-state";
import * as testing from "@catkinwharf/job-state/testing";
import type * as platform from "@catkinwharf/platform";
import * as scheduling from "@catkinwharf/scheduling";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as capacityOutlook from "./capacity-outlook.js";
import * as jobRegistry from "./job-registry.js";
import type * as session from "./server-session.js";

const suite = uvu.suite("capacity outlook");
const wall = 30_100;

interface Situation {
    /** Ready jobs by organisation, each with one task of a core and a second. */
    readonly jobs: Readonly<Record<string, number>>;
    /** Cores of the only server, and how many of them are free. */
    readonly cores: number;
    readonly freeCores: number;
    readonly hasSpareMachines?: boolean;
    /** Cores that the organisation may use at a time; 0 for no limit. */
    readonly quota?: number;
    readonly withoutOrganisations?: boolean;
}

function estimateWaits(situation: Situation): jobState.ExpectedWaits | undefined {
    const organisations = Object.keys(situation.jobs).map(name => ({
        name,
        keys: [],
        weight: 1,
        limit: { cpu: 1000 * (situation.quota ?? 0), memory: 0, accelerators: 0 },
    }));
    const configuration: platform.operatorRecords.Configuration = {
        version: 1,
        routes: [{
            name: "quotes",
            host: "",
            pathPrefix: "/",
            service: "dispatch",
            priority: 0,
            maxAttempts: 3,
            slackFactor: 2,
            latencyAllowance: 1000,
            timeout: 3000,
            advice: undefined,
            isPublic: false,
        }],
        services: [],
        organisations: situation.withoutOrganisations === true ? [] : organisations,
        maxBodyBytes: 1,
    };
    const registry = new jobRegistry.JobRegistry();
    registry.applyConfiguration(configuration);
    const table = new jobState.JobTable();
    for (const [organisation, count] of Object.entries(situation.jobs)) {
        for (let i = 0; i < count; i++) {
            const id = (table.entries.size + 1).toString(16).padStart(16, "0");
            const { key, value } = jobState.encodeJob(testing.createJob({ id, organisation, submittedAt: 30_000 }));
            table.applySubmission(key, value);
        }
    }
    table.entries.forEach(entry => registry.track(entry, wall));
    const server = {
        entry: { service: "dispatch", cpu: 1000 * situation.cores },
        load: { acceptsTasks: true, freeCpu: 1000 * situation.freeCores },
        runs: new Map(),
    } as unknown as session.ServerSession;
    return capacityOutlook.estimateWaits({
        configuration,
        candidates: registry.listCandidates(wall),
        servers: [server],
        quota: new scheduling.QuotaUsage(new Map(organisations.map(({ name, limit }) => [name, limit]))),
        hasSpareMachines: situation.hasSpareMachines === true,
        taskDelay: 0,
        isBeyondRate: job => registry.isBeyondRate(job),
    });
}

suite("while servers are free or machines to spare, no wait is published", () => {
    assert.is(estimateWaits({ jobs: { large: 20 }, cores: 40, freeCores: 20 }), undefined);
    assert.is(estimateWaits({ jobs: { large: 60 }, cores: 40, freeCores: 0, hasSpareMachines: true }), undefined);
});

suite("without organisations no wait is published, however long it is", () => {
    const situation = { jobs: { large: 600 }, cores: 40, freeCores: 0 };
    assert.is(estimateWaits({ ...situation, withoutOrganisations: true }), undefined);
    assert.ok(estimateWaits(situation) !== undefined);
});

suite("the wait for jobs beyond the rate is that of the work before them", () => {
    const waits = estimateWaits({ jobs: { large: 80, small: 4 }, cores: 40, freeCores: 0 });
    assert.equal(waits, { beyondRate: { dispatch: 2100 }, quota: {} });
});

suite("what a quota holds back counts for its own organisation only", () => {
    const waits = estimateWaits({ jobs: { large: 80, small: 1 }, cores: 40, freeCores: 20, quota: 10 });
    assert.equal(waits?.quota, { large: 8000 });
});

suite.run();
