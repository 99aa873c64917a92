/** A crowd of cancellations of unknown jobs leaves room for those of other callers, and is told when to return. */
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as cancellationRoom from "./cancellation-room.js";

const suite = uvu.suite("cancellation room");
const duration = 30_000;

function fill(room: cancellationRoom.CancellationRoom, callers: readonly string[], now: number): number {
    let taken = 0;
    while (room.take(callers, duration, now) === 0) {
        taken += 1;
    }
    return taken;
}

suite("one connection takes the room of another, of its queue or of another one", () => {
    const room = new cancellationRoom.CancellationRoom(500);
    for (let i = 0; i < 20; i++) {
        fill(room, ["queue a", `connection ${i}`], 0);
    }
    assert.is(room.take(["queue a", "connection x"], duration, 0), 0);
    assert.ok(fill(room, ["queue b", "connection y"], 0) > 20);
    assert.is(room.take(["organisation c"], duration, 0), 0);
});

suite("crowds at many processes together take the memory of each", () => {
    const room = new cancellationRoom.CancellationRoom(500);
    const own = ["queue a", "connection x"];
    assert.is(room.take(own, duration, 0, 4999), 0);
    assert.is(room.take(own, duration, 0, 5000), 0);
    assert.is(room.take(own, duration, 0, 5000), 0);
    assert.is(room.take(own, duration, 0, 5000), duration);
    assert.is(room.take(["queue a", "connection y"], duration, 0, 9999), 0);
    assert.is(room.take(["queue a", "connection z"], duration, 0, 10_000), duration);
});

suite("there is room again at the time that a refused caller is told", () => {
    const room = new cancellationRoom.CancellationRoom(60);
    for (let now = 0; now < 5000; now += 100) {
        room.take(["organisation a"], duration, now);
    }
    const now = 5000;
    const wait = room.take(["organisation a"], duration, now);
    assert.ok(wait > 0);
    assert.ok(room.take(["organisation a"], duration, now + wait - 1) > 0);
    assert.is(room.take(["organisation a"], duration, now + wait), 0);
});

suite.run();
