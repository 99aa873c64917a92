/** Leases count as expired only once the last order that may have given them must have arrived. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as context from "./context.js";
import * as serverLeases from "./server-leases.js";

const suite = uvu.suite("leases of a server");
const bounds = { lease: 4500, maxLease: 10_000 };
const termStartedAt = 1000;
/** Lowest rate of a server's clock. */
const clockRate = 0.98;

suite("the last start of a lost coordinator arrives after its lease counts as expired", () => {
    const leases = new serverLeases.ServerLeases(bounds, termStartedAt);
    const lastOrderAt = termStartedAt + bounds.lease;
    const lastEnd = lastOrderAt + context.serverCallTimeout + bounds.maxLease / clockRate;
    assert.ok(leases.computeInheritedExpiry(true) > lastEnd);
});

suite("a start that a next boot carries out just before its timeout outlives its lease", () => {
    const leases = new serverLeases.ServerLeases(bounds, termStartedAt);
    leases.recordOrder(90_000, 5000);
    leases.recordOrder(91_000, 6000);
    assert.ok(leases.computeNextBootExpiry() > 6000 + context.serverCallTimeout + bounds.maxLease / clockRate);
});

suite("the known boot's lease counts as the longest one", () => {
    const leases = new serverLeases.ServerLeases(bounds, termStartedAt);
    leases.recordOrder(90_000 + bounds.lease, 5000);
    const expiry = leases.computeExpiry({ server: 90_000, received: 5000 });
    assert.ok(expiry >= 5000 + bounds.lease / clockRate);
    assert.ok(expiry < 5000 + bounds.maxLease);
});

suite.run();
