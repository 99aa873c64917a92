import * as schema from "@catkinwharf/schema";
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as difference from "./difference.js";

const seed = 20261204;
const suite = uvu.suite("difference");

const names = fastCheck.constantFrom("a", "b", "c", "d");
const configurations: fastCheck.Arbitrary<schema.log.Configuration> = fastCheck.record({
    services: fastCheck.uniqueArray(
        fastCheck.record({
            name: names,
            profile: names,
            pool: names,
            timeoutMs: fastCheck.integer({ min: 1, max: 3 }),
            maxQueued: fastCheck.integer({ min: 1, max: 3 }),
        }),
        { selector: service => service.name },
    ),
    pools: fastCheck.uniqueArray(
        fastCheck.record({ name: names, instances: fastCheck.integer({ min: 0, max: 3 }) }),
        { selector: pool => pool.name },
    ),
    sparePool: names,
});

suite(`finds no difference after services and pools are reordered (seed ${seed})`, () => {
    fastCheck.assert(
        fastCheck.property(configurations, one => {
            const other = { ...one, pools: [...one.pools].reverse(), services: [...one.services].reverse() };
            assert.equal(difference.compareConfigurations(one, other), []);
        }),
        { seed },
    );
});

suite(`swaps before and after when the arguments are swapped (seed ${seed})`, () => {
    fastCheck.assert(
        fastCheck.property(configurations, configurations, (one, other) => {
            const forward = difference.compareConfigurations(one, other);
            const backward = difference.compareConfigurations(other, one);
            assert.equal(backward.map(item => ({ path: item.path, before: item.after, after: item.before })), forward);
        }),
        { seed },
    );
});

suite("renders added, removed and changed values", () => {
    const text = difference.renderDifferences([
        { path: "pools.a.instances", before: undefined, after: "3" },
        { path: "pools.b.instances", before: "2", after: undefined },
        { path: "sparePool", before: `"x"`, after: `"y"` },
    ]);
    assert.is(text, `+ pools.a.instances = 3\n- pools.b.instances = 2\n~ sparePool: "x" -> "y"`);
});

suite.run();
