/** A call without a response tells whether it can only have reached the process that has responded on its connection. */
import * as testUtils from "@catkinwharf/test-utils";
import * as http from "node:http";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as httpCalls from "./index.js";

const suite = uvu.suite("used connections");
const call = { method: "POST" as const, path: "/", headers: {}, body: undefined };
const timeout = 200;

/** Sends a call that gets no response. */
async function sendInVain(client: httpCalls.HttpClient, address: string): Promise<httpCalls.CallError> {
    const result = await client.send(address, call, timeout);
    return result._unsafeUnwrapErr();
}

suite("a call on a new connection passes for one that only the known process can have received", async () => {
    let responds = true;
    const server = http.createServer((_message, response) => {
        if (responds) {
            response.end();
        }
    });
    const address = `${testUtils.loopbackHost}:${await testUtils.listen(server, 0)}`;
    const client = new httpCalls.HttpClient(1);
    try {
        assert.ok((await client.send(address, call, timeout)).isOk());
        responds = false;
        const second = await sendInVain(client, address);
        assert.equal([second.fault, second.onUsedConnection], [httpCalls.CallFault.unanswered, true]);
        // The connection of a call that timed out is closed.
        const third = await sendInVain(client, address);
        assert.equal([third.fault, third.onUsedConnection], [httpCalls.CallFault.unanswered, false]);
    }
    finally {
        client.closeConnections(address);
        server.close();
        server.closeAllConnections();
    }
});

suite(
    "a call to a process that was started again passes for one that only the process before can have received",
    async () => {
        const first = http.createServer((_message, response) => void response.end());
        const port = await testUtils.listen(first, 0);
        const address = `${testUtils.loopbackHost}:${port}`;
        const client = new httpCalls.HttpClient(1);
        const next = http.createServer();
        try {
            assert.ok((await client.send(address, call, timeout)).isOk());
            first.closeAllConnections();
            await new Promise(resolve => first.close(resolve));
            await testUtils.listen(next, port);
            const error = await sendInVain(client, address);
            assert.equal([error.fault, error.onUsedConnection], [httpCalls.CallFault.unanswered, false]);
        }
        finally {
            client.closeConnections(address);
            first.close();
            next.close();
            next.closeAllConnections();
        }
    },
);

suite.run();
