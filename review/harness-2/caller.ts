/**
 * A caller of the system: sends one request over a connection of its own and reads the response.
 */
import * as http from "node:http";

export interface Answer {
    /** 0 when the connection broke or the time limit passed. */
    readonly status: number;
    readonly body: string;
}

/** Time limit in ms of a request, which it states to the system. */
const timeLimit = 3000;

export function call(port: number, method: string, path: string, host: string, body?: object): Promise<Answer> {
    return new Promise(resolve => {
        const request = http.request({
            host: "127.0.0.1",
            port,
            method,
            path,
            agent: false,
            headers: {
                "host": host,
                "x-deadline-ms": String(timeLimit),
                ...body === undefined ? {} : { "content-type": "application/json" },
            },
        }, response => {
            const parts: Buffer[] = [];
            response.on("data", (part: Buffer) => parts.push(part));
            response.on("end", () => {
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(parts).toString() });
            });
            response.on("error", () => resolve({ status: 0, body: "" }));
        });
        request.setTimeout(timeLimit, () => request.destroy());
        request.on("error", () => resolve({ status: 0, body: "" }));
        request.end(body === undefined ? undefined : JSON.stringify(body));
    });
}

/** State of a job as an answer shows it; `undefined` if it shows none. */
export function readState(answer: Answer): string | undefined {
    if (answer.status !== 200) {
        return undefined;
    }
    return (JSON.parse(answer.body) as { readonly State?: string; }).State;
}
