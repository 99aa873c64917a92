/**
 * Request and answer of `catkinwharf explain job` and `catkinwharf explain submission`, as JSON between the command and
 * the entry processes. Neither holds a key.
 */

/** Paths of the entry processes' relay port. */
export const explanationPath = "/explain";
/** For a request that another entry process passes on; it isn't passed on again. */
export const forwardedExplanationPath = "/explain/forwarded";

export type ExplanationRequest =
    | { readonly job: string; }
    | {
        readonly host: string;
        /** Path of a queue, with or without a job ID. */
        readonly path: string;
        /** Text of the submission's body. */
        readonly body: string;
        readonly organisation?: string | undefined;
    };

/** What would happen now. */
export const Verdict = {
    /** Tasks of it are running. */
    running: "running",
    /** A task of it could start now. */
    starts: "starts",
    waits: "waits",
    /** The submission would be refused. */
    refused: "refused",
    /** The job is completed, failed or cancelled. */
    ended: "ended",
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** What a step waits for. */
export const Blocker = {
    /** Steps that it depends on, or the due time of its occurrence. */
    notReady: "notReady",
    quota: "quota",
    /** The coordinator has as many runs under way as it has memory for. */
    runs: "runs",
    /** A ticket of the advice service. */
    ticket: "ticket",
    /** It is beyond its organisation's committed rate, and a step within its own waits for room and can be on time. */
    rate: "rate",
    /** No server has room for it and may take it. */
    servers: "servers",
} as const;
export type Blocker = (typeof Blocker)[keyof typeof Blocker];

/** Amounts in thousandths of a core, megabytes and accelerators. */
export interface Amounts {
    readonly cpu: number;
    readonly memory: number;
    readonly accelerators: number;
}

export interface OrganisationExplanation {
    readonly name: string;
    readonly usage: Amounts;
    /** 0 in a resource is no limit. */
    readonly quota: Amounts;
    /** Committed jobs per second; 0 for none. */
    readonly weight: number;
    /** Largest part of the capacity, in any resource, that it has running, divided by its weight. */
    readonly share: number;
    readonly beyondRate: boolean;
}

export interface ServerLack {
    readonly server: string;
    /** Empty if the server could take a task now. */
    readonly lacks: readonly string[];
    /** Ms until it is predicted to have room; missing if waiting for its runs doesn't help. */
    readonly wait?: number | undefined;
    /** Step that has reserved it, as JOB.OCCURRENCE.STEP. */
    readonly reservedFor?: string | undefined;
}

export interface StepExplanation {
    readonly occurrence: number;
    readonly step: number;
    /** All tasks of the step. */
    readonly tasks: number;
    /** Tasks that are ready to start. */
    readonly readyTasks: number;
    /** Servers of its runs that may be under way. */
    readonly runningOn: readonly string[];
    /** Undefined if ready tasks could start now, or none is left to start. */
    readonly blocker?: Blocker | undefined;
    /** Indices of the unfinished steps that it depends on. */
    readonly waitsForSteps: readonly number[];
    /** Steps before it in its service's queue. */
    readonly stepsBefore: number;
    /** Ready tasks that the organisation's quota lets start. */
    readonly allowedByQuota: number;
    readonly needsTicket: boolean;
    /** Servers on which ready tasks would start now, one entry for each task. */
    readonly placements: readonly string[];
    /** Number of servers of the service. */
    readonly serverCount: number;
    /** Servers by what they lack; one that lacks several counts for each. */
    readonly lackCounts: Readonly<Record<string, number>>;
    /** Those that are predicted to have room first. */
    readonly servers: readonly ServerLack[];
    /** Server that this step has reserved, and ms until its predicted start there. */
    readonly reservation?: { readonly server: string; readonly wait: number; } | undefined;
    /**
     * Ms until a server is predicted to have room for a task of it; missing if that isn't known. Steps before it may take
     * the room.
     */
    readonly predictedStart?: number | undefined;
}

export interface PlacementExplanation {
    readonly verdict: Verdict;
    readonly job?: string | undefined;
    /** Status of a known job. */
    readonly status?: string | undefined;
    readonly queue?: string | undefined;
    readonly service?: string | undefined;
    readonly organisation?: OrganisationExplanation | undefined;
    /** The response to the submission. */
    readonly refusal?:
        | { readonly status: number; readonly reason: string; readonly wait?: number | undefined; }
        | undefined;
    /** Ms for which ready tasks wait because the coordinator can't start more at a time. */
    readonly startDelay?: number | undefined;
    /** Ms until the next occurrence falls due. */
    readonly nextDue?: number | undefined;
    readonly steps: readonly StepExplanation[];
    /** Unfinished steps that aren't in `steps`. */
    readonly stepsLeftOut: number;
}

/** Answer of an entry process that has no explanation. */
export interface ExplanationFailure {
    readonly error: string;
}
