/**
 * Ways of handling requests that the request bench compares, by name.
 */
import * as testUtils from "@catkinwharf/test-utils";

type Overrides = NonNullable<testUtils.LaunchOptions["settingsOverrides"]>;

/** Retries as a share of first attempts that never run out. */
const unlimitedRetryShare = 1_000;

/** Settings of the entry processes for each policy. */
export const requestPolicies: Readonly<Record<string, Overrides>> = {
    "chosen": {},
    /** The least loaded backend server gets the request, however often it failed. */
    "no-ejection": { requests: { ejection: false } },
    "no-retry-budget": { requests: { retryShare: unlimitedRetryShare } },
    "no-ejection-nor-budget": { requests: { ejection: false, retryShare: unlimitedRetryShare } },
};
