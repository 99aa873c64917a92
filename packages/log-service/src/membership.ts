/**
 * Client of the platform's membership list.
 */
import type * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import * as endpoints from "./endpoints.js";
import * as serviceClient from "./service-client.js";

/** Reads the membership list. Each call makes one attempt; retries are left to the caller. */
export class MembershipClient {
    private readonly client: serviceClient.ServiceClient;

    constructor(options: serviceClient.ServiceClientOptions) {
        this.client = new serviceClient.ServiceClient(options);
    }

    /** Reads the current list, which the platform updates with a lag of some seconds. */
    read(): Promise<neverthrow.Result<schema.platform.MembershipAnswer, errors.PlatformError>> {
        return this.client.sendValidated({
            method: "GET",
            path: endpoints.membershipPath,
            validate: schema.validators.platformMembershipAnswer,
        });
    }

    /** Closes the connection. */
    close(): void {
        this.client.close();
    }
}
