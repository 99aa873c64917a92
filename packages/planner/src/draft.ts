/**
 * The parts of a plan: drafts of log records, reboots to request, and reports for operators.
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

/** The condition is always true; it applies Omit to each member of a union. */
type WithoutAuthorship<Body> = Body extends unknown ? Omit<Body, "id" | "author" | "epoch"> : never;

/** A coordinator's record without id, author and epoch, which are added when it is appended. */
export type DecisionDraft = WithoutAuthorship<CoordinatorRecord>;

/** Name of the instance that a draft concerns. */
export function getInstanceName(draft: DecisionDraft): string {
    return typeof draft.instance === "string" ? draft.instance : draft.instance.name;
}

/** Why an unfinished stop drains no further instance now. */
export const WaitReason = {
    /** No configuration was published. */
    configurationMissing: "configuration-missing",
    /** The membership list is too old to tell which instances are available. */
    membershipStale: "membership-stale",
    /** Too many returned instances fail. */
    halted: "halted",
    /** The first batch, or after failures the one instance that is rebooted at a time, has not returned yet. */
    firstBatch: "first-batch",
    /** The availability budget of a pool allows no further drain. */
    budget: "budget",
    /** The policy allows no more drains at once. */
    width: "width",
    /** The remaining instances are not live, so they can't be rebooted. */
    notLive: "not-live",
    /** The homes of remaining instances don't renew their sessions, so they might not receive a drain. */
    homeUnreachable: "home-unreachable",
    /** All remaining instances are being drained or rebooted, for this stop or for another reason. */
    inProgress: "in-progress",
    /** The maximum number of decisions in one plan was reached. */
    planFull: "plan-full",
} as const;

export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

/** An unfinished stop for which this plan starts no drain. */
export interface StopWait {
    readonly stop: string;
    readonly reason: WaitReason;
    /** Message for operators, with the figures behind the reason. */
    readonly detail: string;
}

/**
 * A reboot to request from the platform for a stopped instance. The request carries the drain's id and may be repeated
 * as often as needed.
 */
export interface RequestedReboot {
    readonly instance: string;
    readonly drain: string;
}

/** A drain that has exceeded the profile's drain timeout; it is reported but not aborted. */
export interface OverdueDrain {
    readonly instance: string;
    readonly drain: string;
    readonly pool: string;
    /** Time since the start of the drain, in ms. */
    readonly drainingMs: number;
}

/** The coordinator's next decisions and requests. */
export interface Plan {
    readonly decisions: readonly DecisionDraft[];
    readonly waits: readonly StopWait[];
    readonly reboots: readonly RequestedReboot[];
    readonly overdue: readonly OverdueDrain[];
}
