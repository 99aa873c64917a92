import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as harness from "./testing/harness.js";

const root = path.resolve(import.meta.dirname, "../../..");
const goldenFile = path.join(root, "packages/cli/src/golden/session.txt");
const configurationFile = path.join(root, "examples/configuration.jsonc");
const profileFile = path.join(root, "examples/profile-small.jsonc");
const suite = uvu.suite("session");

suite("the output of a sequence of commands matches the golden file", async () => {
    const port = new harness.OperatorPortStub(createSessionRoutes());
    const url = await port.open();
    const parts: string[] = [];
    for (const commandLine of commandLines) {
        const result = await harness.runCommandLine(url, commandLine.split(" "));
        const errors = result.errors.split("\n").filter(text => text !== "").map(text => `! ${text}\n`).join("");
        parts.push(`$ catkinwharf ${commandLine}\n${errors}${result.output}exit ${result.code}\n`);
    }
    port.close();
    const session = parts.join("\n").replaceAll(`${root}${path.sep}`, "");
    if (process.env["UPDATE_GOLDEN"] === "1") {
        fs.writeFileSync(goldenFile, session);
    }
    assert.fixture(session, fs.readFileSync(goldenFile, "utf8"));
});

/** Commands of the golden file, in order; the responses of the stub depend on the commands before. */
const commandLines = [
    `settings check ${path.join(root, "examples/entry.jsonc")}`,
    `profile publish ${profileFile}`,
    "profile list",
    `config diff ${configurationFile}`,
    `config publish ${configurationFile}`,
    `config publish ${configurationFile} --expect-version 0`,
    `config publish ${configurationFile} --dry-run`,
    "config show --json",
    "stop announce kernel-12 --reason kernel --rack r3",
    "stop watch kernel-12",
    "stop list",
    "stop cancel kernel-12",
    "move list",
    "status",
    "explain instance w1",
    "explain request unheard-of",
    "log tail --from 2",
];

function createSessionRoutes(): Record<string, harness.RouteHandler> {
    const profiles: unknown[] = [];
    const stops = [
        harness.createStopStatus(0, "running"),
        harness.createStopStatus(2, "waiting", "budget of small"),
        harness.createStopStatus(4, "finished"),
    ];
    let version = 0;
    let configuration: unknown;
    let statusRequests = 0;
    return {
        "GET /operator/profiles": () => ({ status: 200, body: { profiles } }),
        "POST /operator/profiles": body => {
            profiles.push({ version: 1, profile: body["profile"] });
            return { status: 200, body: harness.createChangeAnswer("accepted", 1) };
        },
        "GET /operator/configuration": () => ({ status: 200, body: { version, configuration } }),
        "POST /operator/configurations": body => {
            if (body["expectedVersion"] !== version) {
                return {
                    status: 409,
                    body: harness.createChangeAnswer("conflict", version, "conflict"),
                };
            }
            version += 1;
            configuration = body["configuration"];
            return { status: 200, body: harness.createChangeAnswer("accepted", version) };
        },
        "POST /operator/stops": harness.respondWith(harness.createChangeAnswer("accepted", 0)),
        "DELETE /operator/stops/kernel-12": harness.respondWith(
            harness.createChangeAnswer("invalid", 0, "stop-cancelled"),
            422,
        ),
        "GET /operator/status": () => {
            const status = harness.createStatusAnswer([stops[Math.min(statusRequests, stops.length - 1)]]);
            statusRequests += 1;
            return { status: 200, body: status };
        },
        "GET /operator/moves": harness.respondWith({
            moves: [{
                instance: "w1",
                fromPool: "admin-hub",
                toPool: "previews",
                phase: "draining",
                startedAt: harness.startedAt,
            }],
        }),
        "GET /operator/explain/instances/w1": harness.respondWith({
            subject: "instance w1",
            lines: ["It is draining for the stop kernel-12.", "Its home is entry-a1."],
        }),
        "GET /operator/log?from=2&limit=200": harness.respondWith({
            entries: [{
                offset: 41,
                appendedAt: harness.startedAt,
                body: { kind: "stop-cancelled", id: "r1", author: "s1", stop: "kernel-12" },
                verdict: "stop-cancelled",
            }],
            nextOffset: 42,
            oldestOffset: 40,
        }),
    };
}

suite.run();
