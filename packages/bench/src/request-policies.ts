/**
 * Policies of request handling that the request bench compares.
 */
import * as testUtils from "@catkinwharf/test-utils";

type Overrides = NonNullable<testUtils.LaunchOptions["settingsOverrides"]>;

/** Retry budget, as a share of first attempts, that is never exhausted. */
const unlimitedRetryShare = 1_000;

/** Settings of the entry processes for each policy, by name. */
export const requestPolicies: Readonly<Record<string, Overrides>> = {
    "chosen": {},
    /** Requests go to the least loaded backend server, however often it has failed. */
    "no-ejection": { requests: { ejection: false } },
    "no-retry-budget": { requests: { retryShare: unlimitedRetryShare } },
    "no-ejection-nor-budget": { requests: { ejection: false, retryShare: unlimitedRetryShare } },
};
