/** Sets of indices as ranges behave as plain sets do, and stay as small as their gaps allow. */
import * as fastCheck from "fast-check";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as jobState from "./index.js";

const seed = 20_261_207;
const suite = uvu.suite(`index ranges (seed ${seed})`);
/** Indices that are drawn lie below. */
const end = 40;

type Change = readonly [kind: "add" | "delete", first: number, count: number];

const index = fastCheck.integer({ min: 0, max: end - 1 });
const changes = fastCheck.array(
    fastCheck.tuple(fastCheck.constantFrom("add" as const, "delete" as const), index, fastCheck.nat({ max: 12 })),
    { maxLength: 30 },
);

function listRange(first: number, count: number): number[] {
    return Array.from({ length: count }, (_, i) => first + i);
}

function sort(indices: Iterable<number>): number[] {
    return [...indices].sort((a, b) => a - b);
}

function applyAll(drawn: readonly Change[]): [jobState.IndexRanges, Set<number>] {
    const ranges = new jobState.IndexRanges();
    const plain = new Set<number>();
    for (const [kind, first, count] of drawn) {
        if (kind === "add") {
            ranges.addRange(first, count);
            listRange(first, count).forEach(one => plain.add(one));
        }
        else {
            ranges.deleteRange(first, count);
            listRange(first, count).forEach(one => plain.delete(one));
        }
    }
    return [ranges, plain];
}

suite("added and deleted ranges give the same indices as a plain set", () => {
    fastCheck.assert(
        fastCheck.property(changes, index, fastCheck.nat({ max: end }), (drawn, first, count) => {
            const [ranges, plain] = applyAll(drawn);
            const sorted = sort(plain);
            assert.equal([...ranges], sorted);
            assert.is(ranges.size, plain.size);
            assert.is(ranges.first, sorted[0]);
            assert.equal(ranges.take(count), sorted.slice(0, count));
            const inside = sorted.filter(one => one >= first && one < first + count);
            assert.equal([...ranges.clip(first, count)], inside);
            assert.is(ranges.countIn(first, count), inside.length);
            assert.equal([...ranges.complement(first, count)], listRange(first, count).filter(one => !plain.has(one)));
            assert.equal([...new jobState.IndexRanges(ranges.ranges)], sorted);
            for (let i = 0; i < end + 12; i++) {
                assert.is(ranges.has(i), plain.has(i));
                const after = listRange(i, 2 * end).find(one => !plain.has(one));
                assert.is(ranges.findEnd(i), plain.has(i) ? after : undefined);
            }
        }),
        { seed, numRuns: 300 },
    );
});

suite("ranges are the fewest possible, in ascending order", () => {
    fastCheck.assert(
        fastCheck.property(changes, drawn => {
            const { ranges } = applyAll(drawn)[0];
            ranges.forEach(([first, count], i) => {
                assert.ok(count > 0);
                assert.ok(i === 0 || ranges[i - 1]![0] + ranges[i - 1]![1] < first);
            });
        }),
        { seed },
    );
});

suite.run();
