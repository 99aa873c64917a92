/**
 * Types and validation of the messages between entry instances.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";

export type MessageKind = schema.peer.PeerMessage["kind"];

/** Type of the messages of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<schema.peer.PeerMessage, { kind: Kind; }>;

/** Returns the message if it matches the schema, otherwise a description of the first mismatch. */
export function checkMessage(candidate: unknown): neverthrow.Result<schema.peer.PeerMessage, string> {
    if (!schema.validators.peerPeerMessage(candidate)) {
        return neverthrow.err(schema.describeFailure(schema.validators.peerPeerMessage.errors));
    }
    if ("body" in candidate && !(candidate.body instanceof Uint8Array)) {
        return neverthrow.err("body: must be bytes");
    }
    return neverthrow.ok(candidate);
}
