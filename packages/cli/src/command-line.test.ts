import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as exitCode from "./exit-code.js";
import * as operatorPort from "./testing/operator-port.js";

const root = path.resolve(import.meta.dirname, "../../..");
const configurationFile = path.join(root, "examples/configuration.jsonc");
const profileFile = path.join(root, "examples/profile-small.jsonc");

const publish = ["config", "publish", configurationFile, "--expect-version", "3"];
const postConfiguration = "POST /operator/configurations";
const suite = uvu.suite("command line");

const changeCases = [
    {
        route: operatorPort.reply(operatorPort.createAnswer("accepted", 4)),
        code: exitCode.ExitCode.done,
        text: "version 4 is accepted",
    },
    {
        route: operatorPort.reply(operatorPort.createAnswer("conflict", 5, "lost"), 409),
        code: exitCode.ExitCode.conflict,
        text: "version 5",
    },
    {
        route: operatorPort.reply(operatorPort.createAnswer("invalid", 3, "no pool x"), 422),
        code: exitCode.ExitCode.invalid,
        text: "no pool x",
    },
    {
        route: operatorPort.reply(operatorPort.createAnswer("unknown", 3, "no log"), 202),
        code: exitCode.ExitCode.unknown,
        text: "no log",
    },
    {
        route: operatorPort.reply(operatorPort.createAnswer("unavailable", 0, "nothing was published"), 503),
        code: exitCode.ExitCode.unreachable,
        text: "nothing was published",
    },
    { route: operatorPort.reply({ status: "maybe" }), code: exitCode.ExitCode.unknown, text: "can't be read" },
    { route: operatorPort.reply({}, 500), code: exitCode.ExitCode.unknown, text: "HTTP 500" },
    { route: operatorPort.reply({ detail: "not ready" }, 503), code: exitCode.ExitCode.unreachable, text: "not ready" },
    { route: () => undefined, code: exitCode.ExitCode.unknown, text: "--expect-version 3 is safe" },
];

for (const [index, { route, code, text }] of changeCases.entries()) {
    suite(`change case ${index}: exit code ${code}`, async () => {
        const port = new operatorPort.OperatorPort({ [postConfiguration]: route });
        const result = await operatorPort.run(await port.open(), publish);
        port.close();
        assert.is(result.code, code);
        assert.match(result.output + result.errors, text);
        assert.equal(port.asked, [postConfiguration], "a change is sent once");
    });
}

suite("tells a port that nobody listens on from a lost answer", async () => {
    const port = new operatorPort.OperatorPort({});
    const url = await port.open();
    port.close();
    const result = await operatorPort.run(url, publish);
    assert.is(result.code, exitCode.ExitCode.unreachable);
    assert.match(result.errors, "--url");
});

suite("asks the next entry instance only where the first did nothing", async () => {
    const accepting = new operatorPort.OperatorPort({
        [postConfiguration]: operatorPort.reply(operatorPort.createAnswer("accepted", 4)),
    });
    const accepted = await accepting.open();
    const silent = new operatorPort.OperatorPort({ [postConfiguration]: () => undefined });
    const lost = await operatorPort.run(`${await silent.open()},${accepted}`, publish);
    assert.is(lost.code, exitCode.ExitCode.unknown);
    assert.equal(accepting.asked, []);

    const notReady = new operatorPort.OperatorPort({ [postConfiguration]: operatorPort.reply({}, 503) });
    const gone = new operatorPort.OperatorPort({});
    const goneUrl = await gone.open();
    gone.close();
    const done = await operatorPort.run(`${goneUrl},${await notReady.open()},${accepted}`, publish);
    assert.is(done.code, exitCode.ExitCode.done, done.errors);
    assert.equal(accepting.asked, [postConfiguration]);
    [accepting, silent, notReady].forEach(port => port.close());
});

suite("follows the log until it is interrupted", async () => {
    const entry = { appendedAt: operatorPort.startedAt, body: { kind: "session-opened", author: "s1" } };
    const renewal = { ...entry, offset: 43, body: { kind: "session-renewed", author: "s1" } };
    const pages = [{ entries: [{ ...entry, offset: 42 }, renewal], nextOffset: 44 }, { entries: [], nextOffset: 44 }];
    let page = 0;
    const tail = operatorPort.reply({ entries: [{ ...entry, offset: 41 }], nextOffset: 42, oldestOffset: 0 });
    const later: operatorPort.Route = () => ({
        status: 200,
        body: { ...pages[Math.min(page++, pages.length - 1)], oldestOffset: 0 },
    });
    const result = await operatorPort.runAgainst(
        {
            "GET /operator/status": operatorPort.reply(operatorPort.createStatus([])),
            "GET /operator/log?from=0&limit=200": tail,
            "GET /operator/log?from=42&limit=200": later,
            "GET /operator/log?from=44&limit=200": later,
        },
        ["log", "tail", "--follow", "--json"],
        { sleeps: 2 },
    );
    assert.is(result.code, exitCode.ExitCode.done, result.errors);
    assert.equal(result.output.trim().split("\n").map(line => JSON.parse(line).offset), [41, 42]);
});

suite("never prints the key, not even one that is sent back", async () => {
    const wrongKey = "wrong-operator-key-0002";
    for (const flags of [[], ["--json"]]) {
        const result = await operatorPort.runAgainst({}, ["status", ...flags], { key: wrongKey });
        assert.is(result.code, exitCode.ExitCode.unauthorized);
        assert.match(result.errors, "security.operatorKey");
        assert.not.match(result.output + result.errors, wrongKey);
    }
});

suite("retries reads", async () => {
    let failures = 2;
    const status: operatorPort.Route = () =>
        failures-- > 0 ? undefined : { status: 200, body: operatorPort.createStatus([]) };
    const result = await operatorPort.runAgainst({ "GET /operator/status": status }, ["status", "--json"]);
    assert.is(result.code, exitCode.ExitCode.done);
    const document = JSON.parse(result.output);
    assert.equal(document.zones[1], {
        availabilityZone: "brno-b",
        entries: 2,
        reachable: 0,
        lowestVersion: 2,
        highestVersion: 3,
    });
});

suite("prints errors as JSON on standard error", async () => {
    const result = await operatorPort.runAgainst({
        [postConfiguration]: operatorPort.reply(operatorPort.createAnswer("conflict", 5, "lost"), 409),
    }, [
        ...publish,
        "--json",
    ]);
    assert.is(result.output, "");
    const { error } = JSON.parse(result.errors);
    assert.is(error.exitCode, exitCode.ExitCode.conflict);
    assert.is(error.answer.version, 5);
});

suite("refuses wrong arguments before it asks anything", async () => {
    const lines = [
        ["nonsense"],
        ["config", "publish", "absent.jsonc"],
        ["config", "publish", configurationFile, "--expect-version", "x"],
        ["config", "publish", profileFile],
        ["stop", "announce", "kernel-12", "--reason", "kernel"],
        ["stop", "announce", "kernel-12", "--reason", "kernel", "--rack", "r1", "--deadline", "tomorrow"],
        ["stop", "announce", "kernel-12", "--reason", "kernel", "--rack", "r1", "--deadline", "2020-01-01T00:00:00Z"],
        ["stop", "watch", "kernel-12", "--timeout", "-1"],
        ["settings", "check", configurationFile],
    ];
    const port = new operatorPort.OperatorPort({});
    const url = await port.open();
    for (const line of lines) {
        const result = await operatorPort.run(url, line);
        assert.is(result.code, exitCode.ExitCode.invalid, line.join(" "));
        assert.is(result.output, "", line.join(" "));
        assert.is.not(result.errors, "", line.join(" "));
    }
    port.close();
    assert.equal(port.asked, []);
});

suite("checks every example", async () => {
    const kinds: Record<string, string> = {
        "entry.jsonc": "entry",
        "command.jsonc": "command",
        "configuration.jsonc": "configuration",
    };
    const files = fs.readdirSync(path.join(root, "examples")).filter(file => file.endsWith(".jsonc"));
    for (const file of files) {
        const line = ["settings", "check", path.join(root, "examples", file), "--kind", kinds[file] ?? "profile"];
        const result = await operatorPort.run("", line);
        assert.is(result.code, exitCode.ExitCode.done, result.errors);
    }
    assert.ok(files.length >= 4);
});

suite("watches until the time is up, and rewrites the line on a terminal", async () => {
    const port = new operatorPort.OperatorPort({
        "GET /operator/status": operatorPort.reply(
            operatorPort.createStatus([operatorPort.createStop(1, "waiting", "budget")]),
        ),
    });
    const result = await operatorPort.run(
        await port.open(),
        ["stop", "watch", "kernel-12", "--timeout", "5"],
        { isTerminal: true },
    );
    port.close();
    assert.is(result.code, exitCode.ExitCode.unknown);
    assert.is(result.output.match(/\r/g)?.length, 1, "an unchanged line is not printed again");
    assert.match(result.output, "[#####...............] kernel-12: waiting, 1 of 4 done, 3 in progress");
});

suite.run();
