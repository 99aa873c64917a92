/** Guards against limits that clients inside the published limits reach, and that a small machine can't bear. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as guardLimits from "./guard-limits.js";

const suite = uvu.suite("guard limits");
const bytesPerMegabyte = 1_048_576;
/** Largest body in bytes of a submission, and of a call to the relay. */
const largestBodies = [262_144, 2_097_152];
/** Size in bytes that few bodies exceed. */
const usualBody = 8192;

suite("on each known machine some hundred callers, large bodies and slow heads stay within the limits", () => {
    for (const [memory, descriptors] of [[160, 4100], [250, 4100], [602, 8192], [undefined, undefined]] as const) {
        const limits = guardLimits.deriveLimits({ memory, descriptors });
        assert.ok(guardLimits.countPortConnections(limits, guardLimits.Port.callers) >= 500);
        largestBodies.forEach(size => assert.ok(limits.bodyMemory >= 2 * size));
        assert.ok(limits.headerSize >= 16_384);
        assert.ok(limits.headerTimeout > 3000 && limits.bodyTimeout > 3000 && limits.responseTimeout > 3000);
        assert.ok(limits.arrivingMemory >= 500 * usualBody && limits.bodyChunks >= largestBodies[0]!);
        assert.ok(guardLimits.countWaitingConnections(limits, guardLimits.Port.callers) >= 100);
        // The rest of the memory is for the heap, the rest of the descriptors for files and outgoing connections.
        assert.ok(limits.bodyMemory + limits.responseMemory <= (memory ?? 160) * bytesPerMegabyte / 5);
        assert.ok(limits.connections <= ((descriptors ?? 4100) - 200) / 2);
    }
});

suite("a limit of the settings counts, others are derived", () => {
    const limits = guardLimits.deriveLimits({ memory: 160, descriptors: 4100 }, { connections: 40 });
    assert.is(limits.connections, 40);
    assert.is(limits.headerSize, 16_384);
    const ports = Object.values(guardLimits.Port).map(port => guardLimits.countPortConnections(limits, port));
    assert.ok(ports.every(count => count >= 1) && ports.reduce((sum, count) => sum + count) <= 40);
});

suite.run();
