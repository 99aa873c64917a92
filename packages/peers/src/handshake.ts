/**
 * Proof that both ends of a connection know the shared key.
 *
 * The accepting side sends a nonce; the connecting side answers with its identity, its own nonce and a code over all of
 * it; the accepting side answers with its identity and a code of its own. The codes are HMAC-SHA-256 (RFC 2104) under
 * different labels, so that neither can be used in place of the other.
 */
import type * as schema from "@catkinwharf/schema";
import * as crypto from "node:crypto";

/** Who a process is. */
export interface PeerIdentity {
    readonly session: string;
    readonly entry: string;
    readonly availabilityZone: string;
}

/** The nonces of both sides, in hex. */
export interface Nonces {
    readonly challenge: string;
    readonly hello: string;
}

const nonceBytes = 16;

/** Which side a code comes from. */
const Label = { hello: "catkinwharf peer hello 1", welcome: "catkinwharf peer welcome 1" } as const;
type Label = (typeof Label)[keyof typeof Label];

/** A fresh nonce, in hex. */
export function createNonce(): string {
    return crypto.randomBytes(nonceBytes).toString("hex");
}

/** The connecting side's answer to a challenge. */
export function createHello(identity: PeerIdentity, nonces: Nonces, peerKey: string): schema.peer.Hello {
    return {
        kind: "hello",
        ...copyIdentity(identity),
        nonce: nonces.hello,
        mac: computeCode(Label.hello, nonces, [identity], peerKey),
    };
}

/** Whether a hello that answers the challenge comes from a process that knows the key. */
export function isGenuineHello(hello: schema.peer.Hello, challenge: string, peerKey: string): boolean {
    const nonces = { challenge, hello: hello.nonce };
    return isEqualCode(hello.mac, computeCode(Label.hello, nonces, [hello], peerKey));
}

/** The accepting side's answer to a genuine hello. */
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
        mac: computeCode(Label.welcome, nonces, [identity, hello], peerKey),
    };
}

/** Whether a welcome answers this hello and comes from a process that knows the key. */
export function isGenuineWelcome(
    welcome: schema.peer.Welcome,
    hello: schema.peer.Hello,
    challenge: string,
    peerKey: string,
): boolean {
    const nonces = { challenge, hello: hello.nonce };
    return isEqualCode(welcome.mac, computeCode(Label.welcome, nonces, [welcome, hello], peerKey));
}

/** Only the identity of a value that may hold more. */
export function copyIdentity(source: PeerIdentity): PeerIdentity {
    return { session: source.session, entry: source.entry, availabilityZone: source.availabilityZone };
}

function computeCode(label: Label, nonces: Nonces, identities: readonly PeerIdentity[], peerKey: string): string {
    const fields = identities.flatMap(each => [each.session, each.entry, each.availabilityZone]);
    const content = JSON.stringify([label, nonces.challenge, nonces.hello, ...fields]);
    return crypto.createHmac("sha256", peerKey).update(content).digest("hex");
}

function isEqualCode(given: string, expected: string): boolean {
    const givenBytes = Buffer.from(given, "utf8");
    const expectedBytes = Buffer.from(expected, "utf8");
    return givenBytes.length === expectedBytes.length && crypto.timingSafeEqual(givenBytes, expectedBytes);
}
