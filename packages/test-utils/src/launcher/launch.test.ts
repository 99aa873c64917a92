import * as settings from "@catkinwharf/settings";
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as testUtils from "../index.js";

const deploymentsFolder = path.resolve(import.meta.dirname, "../../../../deployments");

const suite = uvu.suite("launcher");

suite("the deployments are valid, and consecutive instances share neither zone nor rack", () => {
    for (const file of fs.readdirSync(deploymentsFolder)) {
        const deployment = settings.readDeployment(path.join(deploymentsFolder, file))._unsafeUnwrap();
        assert.is(deployment.services.reduce((sum, service) => sum + service.workers, 0), 35);
        const planned = testUtils.planInstances(deployment);
        assert.is(planned.length, 39);
        const perRack = new Map<string, number>();
        planned.forEach(({ rack }) => perRack.set(rack, (perRack.get(rack) ?? 0) + 1));
        assert.is(Math.max(...perRack.values()), 4);
        const firstSix = planned.slice(0, 6);
        assert.is(new Set(firstSix.map(instance => instance.availabilityZone)).size, 3);
        assert.is(new Set(firstSix.map(instance => instance.rack)).size, 6);
    }
});

suite("starts the stand-ins, lists their proxied ports as members and stops them", async () => {
    const deployment = testUtils.createSmallDeployment();
    const running = await testUtils.launchDeployment({ deployment, proxied: true, startEntries: false });
    const answer = await testUtils.callControl(running.platform.port, "GET", "/membership");
    const { members } = answer as { members: testUtils.ControlledMember[]; };
    const ports = running.backendServers.map(server => server.memberPort);
    assert.equal(members.map(member => member.address.port), ports);
    await testUtils.cutZone(running, "zone-a");
    await testUtils.healZone(running, "zone-a");
    assert.is(await testUtils.callControl(ports[0]!, "GET", "/").then(body => (body as { path: string; }).path), "/");
    await running.stop();
    const exit = await running.platform.handle.exited;
    assert.is(exit.signal, "SIGKILL");
});

suite("starts an entry process on another port if its own is in use", async () => {
    const deployment = testUtils.createSmallDeployment();
    const running = await testUtils.launchDeployment({ deployment, startEntries: false });
    const first = await running.startEntry("entry-zone-a-1");
    const { peers } = JSON.parse(fs.readFileSync(first.settingsFile, "utf8")) as { peers: { port: number; }; };
    await running.killEntry(first.name);
    const otherServer = net.createServer();
    await new Promise<void>(resolve => otherServer.listen(peers.port, "127.0.0.1", resolve));
    const second = await running.startEntry(first.name);
    assert.not(first.handle.pid === second.handle.pid);
    otherServer.close();
    await running.stop();
    await second.handle.exited;
});

suite.run();
