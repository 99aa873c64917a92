/**
 * Checks of messages between entry instances.
 */
import * as schema from "@catkinwharf/schema";
import * as neverthrow from "neverthrow";

/** Kind of a message. */
export type MessageKind = schema.peer.PeerMessage["kind"];

/** The message of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<schema.peer.PeerMessage, { kind: Kind; }>;

/** The message if it follows the schema, otherwise what is wrong with it. */
export function checkMessage(candidate: unknown): neverthrow.Result<schema.peer.PeerMessage, string> {
    if (!schema.validators.peerPeerMessage(candidate)) {
        return neverthrow.err(schema.describeFailure(schema.validators.peerPeerMessage.errors));
    }
    if ("body" in candidate && !(candidate.body instanceof Uint8Array)) {
        return neverthrow.err("body: must be bytes");
    }
    return neverthrow.ok(candidate);
}
