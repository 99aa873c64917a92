import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as operatorPort from "./testing/operator-port.js";

const root = path.resolve(import.meta.dirname, "../../..");
const goldenFile = path.join(root, "packages/cli/src/golden/session.txt");
const configurationFile = path.join(root, "examples/configuration.jsonc");
const profileFile = path.join(root, "examples/profile-small.jsonc");
const suite = uvu.suite("session");

suite("matches the golden session", async () => {
    const port = new operatorPort.OperatorPort(createSessionRoutes());
    const url = await port.open();
    const parts: string[] = [];
    for (const line of sessionLines) {
        const result = await operatorPort.run(url, line.split(" "));
        const errors = result.errors.split("\n").filter(text => text !== "").map(text => `! ${text}\n`).join("");
        parts.push(`$ catkinwharf ${line}\n${errors}${result.output}exit ${result.code}\n`);
    }
    port.close();
    const session = parts.join("\n").replaceAll(`${root}${path.sep}`, "");
    if (process.env["UPDATE_GOLDEN"] === "1") {
        fs.writeFileSync(goldenFile, session);
    }
    assert.fixture(session, fs.readFileSync(goldenFile, "utf8"));
});

/** Commands of the golden session, in order; the replies change with the commands. */
const sessionLines = [
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

function createSessionRoutes(): Record<string, operatorPort.Route> {
    const profiles: unknown[] = [];
    const stops = [
        operatorPort.createStop(0, "running"),
        operatorPort.createStop(2, "waiting", "budget of small"),
        operatorPort.createStop(4, "finished"),
    ];
    let version = 0;
    let configuration: unknown;
    let stop = 0;
    return {
        "GET /operator/profiles": () => ({ status: 200, body: { profiles } }),
        "POST /operator/profiles": body => {
            profiles.push({ version: 1, profile: body["profile"] });
            return { status: 200, body: operatorPort.createAnswer("accepted", 1) };
        },
        "GET /operator/configuration": () => ({ status: 200, body: { version, configuration } }),
        "POST /operator/configurations": body => {
            if (body["expectedVersion"] !== version) {
                return {
                    status: 409,
                    body: operatorPort.createAnswer("conflict", version, "conflict"),
                };
            }
            version += 1;
            configuration = body["configuration"];
            return { status: 200, body: operatorPort.createAnswer("accepted", version) };
        },
        "POST /operator/stops": operatorPort.reply(operatorPort.createAnswer("accepted", 0)),
        "DELETE /operator/stops/kernel-12": operatorPort.reply(
            operatorPort.createAnswer("invalid", 0, "stop-cancelled"),
            422,
        ),
        "GET /operator/status": () => {
            const status = operatorPort.createStatus([stops[Math.min(stop, stops.length - 1)]]);
            stop += 1;
            return { status: 200, body: status };
        },
        "GET /operator/moves": operatorPort.reply({
            moves: [{
                instance: "w1",
                fromPool: "admin-hub",
                toPool: "previews",
                phase: "draining",
                startedAt: operatorPort.startedAt,
            }],
        }),
        "GET /operator/explain/instances/w1": operatorPort.reply({
            subject: "instance w1",
            lines: ["It is draining for the stop kernel-12.", "Its home is entry-a1."],
        }),
        "GET /operator/log?from=2&limit=200": operatorPort.reply({
            entries: [{
                offset: 41,
                appendedAt: operatorPort.startedAt,
                body: { kind: "stop-cancelled", id: "r1", author: "s1", stop: "kernel-12" },
                verdict: "stop-cancelled",
            }],
            nextOffset: 42,
            oldestOffset: 40,
        }),
    };
}

suite.run();
