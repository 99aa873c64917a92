/**
 * Mutual authentication of the two ends of a connection by a shared key.
 *
 * The accepting side sends a challenge with a nonce. The dialing side answers with a hello: its identity, a nonce of
 * its own and a message authentication code (MAC) over the identity and both nonces. The accepting side answers with a
 * welcome: its identity and a MAC over both identities and both nonces. The MACs are HMAC-SHA-256 (RFC 2104), each with
 * a label of its own, so that one can't be replayed as the other.
 */
import type * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";

/** Identity of a process. */
export interface PeerIdentity {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
}

/** Nonces of both sides, in hex. */
export interface Nonces {
    readonly challenge: string;
    readonly hello: string;
}

const nonceBytes = 16;

/** Labels that tie a MAC to the message that carries it. */
const MacLabel = { hello: "catkinwharf peer hello 1", welcome: "catkinwharf peer welcome 1" } as const;
type MacLabel = (typeof MacLabel)[keyof typeof MacLabel];

/** Creates a random nonce, in hex. */
export function createNonce(): string {
    return crypto.randomBytes(nonceBytes).toString("hex");
}

/** Creates the dialing side's answer to a challenge. */
export function createHello(identity: PeerIdentity, nonces: Nonces, peerKey: string): schema.peer.Hello {
    return {
        kind: "hello",
        ...copyIdentity(identity),
        nonce: nonces.hello,
        mac: computeMac(MacLabel.hello, nonces, [identity], peerKey),
    };
}

/** Whether a hello was created with the shared key for this challenge. */
export function verifyHello(hello: schema.peer.Hello, challenge: string, peerKey: string): boolean {
    const nonces = { challenge, hello: hello.nonce };
    return isEqualMac(hello.mac, computeMac(MacLabel.hello, nonces, [hello], peerKey));
}

/** Creates the accepting side's answer to a verified hello. */
export function createWelcome(
    identity: PeerIdentity,
    hello: schema.peer.Hello,
    challenge: string,
    peerKey: string,
): schema.peer.Welcome {
    const nonces = { challenge, hello: hello.nonce };
    return {
        kind: "welcome",
        ...copyIdentity(identity),
        mac: computeMac(MacLabel.welcome, nonces, [identity, hello], peerKey),
    };
}

/** Whether a welcome was created with the shared key for this challenge and hello. */
export function verifyWelcome(
    welcome: schema.peer.Welcome,
    hello: schema.peer.Hello,
    challenge: string,
    peerKey: string,
): boolean {
    const nonces = { challenge, hello: hello.nonce };
    return isEqualMac(welcome.mac, computeMac(MacLabel.welcome, nonces, [welcome, hello], peerKey));
}

/** Copies only the identity of an object that may have other properties. */
export function copyIdentity(source: PeerIdentity): PeerIdentity {
    return { session: source.session, entry: source.entry, availabilityZone: source.availabilityZone };
}

function computeMac(label: MacLabel, nonces: Nonces, identities: readonly PeerIdentity[], peerKey: string): string {
    const fields = identities.flatMap(each => [each.session, each.entry, each.availabilityZone]);
    const content = JSON.stringify([label, nonces.challenge, nonces.hello, ...fields]);
    return crypto.createHmac("sha256", peerKey).update(content).digest("hex");
}

function isEqualMac(given: string, expected: string): boolean {
    const givenBytes = Buffer.from(given, "utf8");
    const expectedBytes = Buffer.from(expected, "utf8");
    return givenBytes.length === expectedBytes.length && crypto.timingSafeEqual(givenBytes, expectedBytes);
}
