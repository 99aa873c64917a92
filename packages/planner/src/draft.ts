/**
 * What a plan holds: drafts of log records, and what operators and the platform have to know beside them.
 */
import type * as schema from "@catkinwharf/schema";

type CoordinatorRecord =
    | schema.log.InstanceRegistered
    | schema.log.InstanceUnregistered
    | schema.log.DrainStarted
    | schema.log.DrainCancelled
    | schema.log.MoveCommitted
    | schema.log.InstanceStopped
    | schema.log.InstanceReturned;

type WithoutAuthor<Record> = Record extends unknown ? Omit<Record, "id" | "author" | "epoch"> : never;

/** A coordinator's record without id, author and epoch, which the author adds when it appends. */
export type DecisionDraft = WithoutAuthor<CoordinatorRecord>;

/** Name of the instance that a draft decides about. */
export function getSubject(draft: DecisionDraft): string {
    return typeof draft.instance === "string" ? draft.instance : draft.instance.name;
}

/** Why an unfinished stop takes out no further instance now. */
export const WaitReason = {
    /** No configuration was published, or it names no such pool. */
    configurationMissing: "configuration-missing",
    /** The membership list is too old to tell what is available. */
    membershipStale: "membership-stale",
    /** Returned instances fail. */
    halted: "halted",
    /** The first batch has not returned yet. */
    firstBatch: "first-batch",
    /** The availability budget of a pool leaves no room. */
    budget: "budget",
    /** The policy allows no more instances at once. */
    width: "width",
    /** The remaining instances are not live, so they can't be rebooted. */
    notLive: "not-live",
    /** The homes of the remaining instances don't renew their sessions, so they would not hear of a drain. */
    homeUnreachable: "home-unreachable",
    /** All remaining instances are on their way, or out for another reason. */
    inProgress: "in-progress",
    /** The bound on decisions in one plan was reached. */
    planFull: "plan-full",
} as const;

export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** An unfinished stop that takes out no instance in this plan. */
export interface StopWait {
    readonly stop: string;
    readonly reason: WaitReason;
    /** Text for operators, with the numbers behind the reason. */
    readonly detail: string;
}

/** A stopped instance; the platform is asked to reboot it with the drain as id, as often as needed. */
export interface PendingReboot {
    readonly instance: string;
    readonly drain: string;
}

/** A drain whose work still runs after the profile's drain timeout; it goes on. */
export interface OverdueDrain {
    readonly instance: string;
    readonly drain: string;
    readonly pool: string;
    /** Time since the start of the drain, in ms. */
    readonly drainingMs: number;
}

/** What the coordinator does next. */
export interface Plan {
    readonly decisions: readonly DecisionDraft[];
    readonly waits: readonly StopWait[];
    readonly reboots: readonly PendingReboot[];
    readonly overdue: readonly OverdueDrain[];
}
