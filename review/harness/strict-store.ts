/**
 * The project's stand-in for the store, which also keeps the store's limits on the size of a record and of the records
 * of one call: an append beyond them is refused and stores nothing.
 */
import * as standIns from "@catkinwharf/platform-stand-ins";
import type * as http from "node:http";
import * as stream from "node:stream";
import type * as record from "./record.js";

export const recordBytes = 262_144;
export const requestBytes = 2_097_152;

/** An append as it arrives at the store. */
export interface Append {
    readonly query: URLSearchParams;
    readonly isEmpty: boolean;
}

export class StrictStore extends standIns.StoreStandIn {
    /**
     * Whether an append is carried out late and gets no answer, as the pages say of a store that loses answers. `carryOut`
     * does so.
     */
    holdsAppend: (append: Append, carryOut: () => void) => boolean = () => false;

    constructor(private readonly log: record.Recorder) {
        super();
    }

    protected override async handle(message: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of message) {
            chunks.push(chunk as Buffer);
        }
        const body = Buffer.concat(chunks);
        const largest = message.url?.startsWith("/-/log-append") === true ? findLargestRecord(body) : 0;
        if (largest > recordBytes || body.length > requestBytes) {
            this.log.write("append-refused", { path: message.url, largestRecord: largest, request: body.length });
            response.writeHead(413).end();
            return;
        }
        const { url, method, headers, socket } = message;
        const replay = () =>
            Object.assign(stream.Readable.from(body.length === 0 ? [] : [body]), {
                url,
                method,
                headers,
                socket,
            }) as unknown as http.IncomingMessage;
        const { pathname, searchParams: query } = new URL(url ?? "/", "http://store");
        const carryOut = () => void super.handle(replay(), silentResponse);
        if (pathname === "/-/log-append" && this.holdsAppend({ query, isEmpty: body.length === 0 }, carryOut)) {
            this.log.write("append-held", { path: url });
            return;
        }
        await super.handle(replay(), response);
    }
}

/** Takes the answer to an append that its sender doesn't wait for any more. */
const silentResponse = {
    writeHead: () => silentResponse,
    end: () => silentResponse,
} as unknown as http.ServerResponse;

function findLargestRecord(body: Buffer): number {
    let largest = 0;
    for (let position = 0; position + 4 <= body.length; position += 4 + body.readUInt32BE(position)) {
        largest = Math.max(largest, body.readUInt32BE(position));
    }
    return largest;
}
