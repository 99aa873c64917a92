/**
 * A deployment of one large process and small ones whose links are slow, all of which lose their power and read what is
 * stored; for the test of their answers meanwhile, and for measuring these.
 */
import * as jobState from "@catkinwharf/job-state";
import * as jobStateTesting from "@catkinwharf/job-state/testing";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";

const largeCapacity: jobState.ProcessCapacity = { cores: 1, linkRate: 200 };
const smallCapacity: jobState.ProcessCapacity = { cores: 0.324, linkRate: 7 };
/** Bytes of a stored job's payload. */
const payloadSize = 900;
/** Records in a page of the newest ones, as on the users' platform. */
const pageSize = 500;

export class SlowRestart {
    readonly deployment: platformStandIns.StandInDeployment;
    readonly #fronts: platformStandIns.StoreFront[] = [];

    constructor(private readonly smallProcesses: number, options: platformStandIns.DeploymentOptions = {}) {
        this.deployment = new platformStandIns.StandInDeployment([{ name: "quotes", service: "dispatch" }], {
            ...options,
            openStore: async name => {
                const { store } = this.deployment;
                if (name === this.deployment.processes[0]?.name || this.deployment.processes.length === 0) {
                    return store.address;
                }
                const front = new platformStandIns.StoreFront(store);
                this.#fronts.push(front);
                await front.start();
                return front.address;
            },
        });
        this.deployment.store.pageSize = pageSize;
    }

    get large(): platformStandIns.EntryProcess {
        return this.deployment.processes[0]!;
    }

    get small(): readonly platformStandIns.EntryProcess[] {
        return this.deployment.processes.slice(1);
    }

    async start(): Promise<void> {
        await this.deployment.start(
            1 + this.smallProcesses,
            { dispatch: 1 },
            index => index === 0 ? largeCapacity : smallCapacity,
        );
    }

    async stop(): Promise<void> {
        await this.deployment.stop();
        this.#fronts.forEach(front => front.stop());
    }

    /** Stores completed jobs, without the work of running them. */
    storeCompleted(count: number): void {
        const completed = { ...jobState.createProgress(Date.now()), status: jobState.JobStatus.completed, begun: true };
        for (let i = 0; i < count; i++) {
            const id = (0xf000000 + i).toString(16).padStart(16, "0");
            const job = jobStateTesting.createJob({ id, payload: "x".repeat(payloadSize), submittedAt: Date.now() });
            for (const { key, value } of [jobState.encodeJob(job), jobState.encodeProgress(id, completed)]) {
                this.deployment.store.put(
                    key.startsWith("j:") ? jobState.submissionsTopic : jobState.ledgerTopic,
                    key,
                    value,
                );
            }
        }
    }

    /** Kills all processes at once. */
    async kill(): Promise<void> {
        await Promise.all(this.deployment.processes.map(node => this.deployment.kill(node)));
    }

    /**
     * Starts all processes again.
     *
     * @param bandwidth bytes per second of the links over which the small ones read
     */
    launch(bandwidth: number): void {
        this.#fronts.forEach(front => front.bandwidth = bandwidth);
        for (const node of this.deployment.processes) {
            node.lines = [];
            this.deployment.launch(node);
        }
    }

    /** Whether the process has read the submissions since its start. */
    hasRead(node: platformStandIns.EntryProcess): boolean {
        return node.lines.some(line =>
            line.includes('"event":"newest-records-read"') && line.includes(jobState.submissionsTopic)
        );
    }
}
