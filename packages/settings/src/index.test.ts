import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as settings from "./index.js";

const validSettings = {
    entry: "entry-1",
    availabilityZone: "zone-a",
    callers: { host: "127.0.0.1", port: 0 },
    operators: { host: "127.0.0.1", port: 0 },
    peers: { host: "127.0.0.1", port: 0 },
    platform: { log: "http://127.0.0.1:1", membership: "http://127.0.0.1:1", control: "http://127.0.0.1:1" },
    security: { peerKey: "0123456789abcdef", operatorKey: "0123456789abcdef" },
};

function writeTemporaryFile(text: string): string {
    const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "catkinwharf-")), "settings.jsonc");
    fs.writeFileSync(file, text);
    return file;
}

const suite = uvu.suite("settings");

suite("fills in defaults", () => {
    const file = writeTemporaryFile(`// comment\n${JSON.stringify(validSettings)}`);
    const read = settings.readEntrySettings(file)._unsafeUnwrap();
    assert.is(read.session.renewMs, 2000);
    assert.is(read.logging.level, "info");
});

suite("reports the file, the key and the reason of an invalid value", () => {
    const file = writeTemporaryFile(JSON.stringify({ ...validSettings, session: { renewMs: "soon" } }));
    const error = settings.readEntrySettings(file)._unsafeUnwrapErr();
    assert.is(settings.describeError(error), `${file}: session.renewMs: must be integer`);
});

suite("rejects an unknown key and names it", () => {
    const file = writeTemporaryFile(JSON.stringify({ ...validSettings, speed: 1 }));
    assert.match(settings.describeError(settings.readEntrySettings(file)._unsafeUnwrapErr()), "speed");
});

suite("reports the line of a JSON syntax error", () => {
    const file = writeTemporaryFile(`{\n  "entry": \n}`);
    assert.match(settings.describeError(settings.readEntrySettings(file)._unsafeUnwrapErr()), "line 3");
});

suite("reports a missing file", () => {
    assert.match(settings.describeError(settings.readEntrySettings("absent.jsonc")._unsafeUnwrapErr()), "ENOENT");
});

suite.run();
