import * as fs from "node:fs";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as exitCode from "./exit-code.js";
import * as harness from "./testing/harness.js";

const root = path.resolve(import.meta.dirname, "../../..");
const configurationFile = path.join(root, "examples/configuration.jsonc");
const profileFile = path.join(root, "examples/profile-small.jsonc");

const publish = ["config", "publish", configurationFile, "--expect-version", "3"];
const postConfiguration = "POST /operator/configurations";
const suite = uvu.suite("command line");

const changeCases = [
    {
        route: harness.respondWith(harness.createChangeAnswer("accepted", 4)),
        code: exitCode.ExitCode.done,
        text: "version 4 is accepted",
    },
    {
        route: harness.respondWith(harness.createChangeAnswer("conflict", 5, "lost"), 409),
        code: exitCode.ExitCode.conflict,
        text: "version 5",
    },
    {
        route: harness.respondWith(harness.createChangeAnswer("invalid", 3, "no pool x"), 422),
        code: exitCode.ExitCode.invalid,
        text: "no pool x",
    },
    {
        route: harness.respondWith(harness.createChangeAnswer("unknown", 3, "no log"), 202),
        code: exitCode.ExitCode.unknown,
        text: "no log",
    },
    {
        route: harness.respondWith(harness.createChangeAnswer("unavailable", 0, "nothing was published"), 503),
        code: exitCode.ExitCode.unreachable,
        text: "nothing was published",
    },
    { route: harness.respondWith({ status: "maybe" }), code: exitCode.ExitCode.unknown, text: "can't be read" },
    { route: harness.respondWith({}, 500), code: exitCode.ExitCode.unknown, text: "HTTP 500" },
    {
        route: harness.respondWith({ detail: "not ready" }, 503),
        code: exitCode.ExitCode.unreachable,
        text: "not ready",
    },
    { route: () => undefined, code: exitCode.ExitCode.unknown, text: "--expect-version 3 is safe" },
];

for (const [index, { route, code, text }] of changeCases.entries()) {
    suite(`a change ends with exit code ${code} after the response of case ${index}`, async () => {
        const port = new harness.OperatorPortStub({ [postConfiguration]: route });
        const result = await harness.runCommandLine(await port.open(), publish);
        port.close();
        assert.is(result.code, code);
        assert.match(result.output + result.errors, text);
        assert.equal(port.receivedRequests, [postConfiguration], "a change is sent once");
    });
}

suite("reports a refused connection as unreachable, not as an unknown outcome", async () => {
    const port = new harness.OperatorPortStub({});
    const url = await port.open();
    port.close();
    const result = await harness.runCommandLine(url, publish);
    assert.is(result.code, exitCode.ExitCode.unreachable);
    assert.match(result.errors, "--url");
});

suite("sends a change to the next entry instance only if the first can't have applied it", async () => {
    const acceptingPort = new harness.OperatorPortStub({
        [postConfiguration]: harness.respondWith(harness.createChangeAnswer("accepted", 4)),
    });
    const acceptingUrl = await acceptingPort.open();
    const droppingPort = new harness.OperatorPortStub({ [postConfiguration]: () => undefined });
    const unknownResult = await harness.runCommandLine(`${await droppingPort.open()},${acceptingUrl}`, publish);
    assert.is(unknownResult.code, exitCode.ExitCode.unknown);
    assert.equal(acceptingPort.receivedRequests, []);

    const notReadyPort = new harness.OperatorPortStub({ [postConfiguration]: harness.respondWith({}, 503) });
    const closedPort = new harness.OperatorPortStub({});
    const closedUrl = await closedPort.open();
    closedPort.close();
    const acceptedResult = await harness.runCommandLine(
        `${closedUrl},${await notReadyPort.open()},${acceptingUrl}`,
        publish,
    );
    assert.is(acceptedResult.code, exitCode.ExitCode.done, acceptedResult.errors);
    assert.equal(acceptingPort.receivedRequests, [postConfiguration]);
    [acceptingPort, droppingPort, notReadyPort].forEach(port => port.close());
});

suite("log tail --follow prints new records without renewals until it is interrupted", async () => {
    const entry = { appendedAt: harness.startedAt, body: { kind: "session-opened", author: "s1" } };
    const renewal = { ...entry, offset: 43, body: { kind: "session-renewed", author: "s1" } };
    const pages = [{ entries: [{ ...entry, offset: 42 }, renewal], nextOffset: 44 }, { entries: [], nextOffset: 44 }];
    let page = 0;
    const firstPage = harness.respondWith({ entries: [{ ...entry, offset: 41 }], nextOffset: 42, oldestOffset: 0 });
    const followingPages: harness.RouteHandler = () => ({
        status: 200,
        body: { ...pages[Math.min(page++, pages.length - 1)], oldestOffset: 0 },
    });
    const result = await harness.runWithStub(
        {
            "GET /operator/status": harness.respondWith(harness.createStatusAnswer([])),
            "GET /operator/log?from=0&limit=200": firstPage,
            "GET /operator/log?from=42&limit=200": followingPages,
            "GET /operator/log?from=44&limit=200": followingPages,
        },
        ["log", "tail", "--follow", "--json"],
        { sleepsBeforeInterrupt: 2 },
    );
    assert.is(result.code, exitCode.ExitCode.done, result.errors);
    assert.equal(result.output.trim().split("\n").map(line => JSON.parse(line).offset), [41, 42]);
});

suite("never prints the operator key, even if the response repeats it", async () => {
    const wrongKey = "wrong-operator-key-0002";
    for (const flags of [[], ["--json"]]) {
        const result = await harness.runWithStub({}, ["status", ...flags], { key: wrongKey });
        assert.is(result.code, exitCode.ExitCode.unauthorized);
        assert.match(result.errors, "security.operatorKey");
        assert.not.match(result.output + result.errors, wrongKey);
    }
});

suite("retries a read after a dropped connection", async () => {
    let failures = 2;
    const status: harness.RouteHandler = () =>
        failures-- > 0 ? undefined : { status: 200, body: harness.createStatusAnswer([]) };
    const result = await harness.runWithStub({ "GET /operator/status": status }, ["status", "--json"]);
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
    const result = await harness.runWithStub({
        [postConfiguration]: harness.respondWith(harness.createChangeAnswer("conflict", 5, "lost"), 409),
    }, [
        ...publish,
        "--json",
    ]);
    assert.is(result.output, "");
    const { error } = JSON.parse(result.errors);
    assert.is(error.exitCode, exitCode.ExitCode.conflict);
    assert.is(error.answer.version, 5);
});

suite("rejects wrong arguments without sending a request", async () => {
    const commandLines = [
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
    const port = new harness.OperatorPortStub({});
    const url = await port.open();
    for (const args of commandLines) {
        const result = await harness.runCommandLine(url, args);
        assert.is(result.code, exitCode.ExitCode.invalid, args.join(" "));
        assert.is(result.output, "", args.join(" "));
        assert.is.not(result.errors, "", args.join(" "));
    }
    port.close();
    assert.equal(port.receivedRequests, []);
});

suite("settings check accepts every example file", async () => {
    const kinds: Record<string, string> = {
        "entry.jsonc": "entry",
        "command.jsonc": "command",
        "configuration.jsonc": "configuration",
    };
    const files = fs.readdirSync(path.join(root, "examples")).filter(file => file.endsWith(".jsonc"));
    for (const file of files) {
        const args = ["settings", "check", path.join(root, "examples", file), "--kind", kinds[file] ?? "profile"];
        const result = await harness.runCommandLine("", args);
        assert.is(result.code, exitCode.ExitCode.done, result.errors);
    }
    assert.ok(files.length >= 4);
});

suite("stop watch ends at its timeout, and prints an unchanged progress line on a terminal once", async () => {
    const port = new harness.OperatorPortStub({
        "GET /operator/status": harness.respondWith(
            harness.createStatusAnswer([harness.createStopStatus(1, "waiting", "budget")]),
        ),
    });
    const result = await harness.runCommandLine(
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
