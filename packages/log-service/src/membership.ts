/**
 * Client of the platform's membership list.
 */
import type * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import * as endpoints from "./endpoints.js";
import * as service from "./service.js";

/** Reads the membership list. Each call is one attempt; the caller decides when to try again. */
export class MembershipClient {
    private readonly service: service.Service;

    constructor(options: service.ServiceOptions) {
        this.service = new service.Service(options);
    }

    /** The list as the platform shows it now, which is some seconds old. */
    read(): Promise<neverthrow.Result<schema.platform.MembershipAnswer, errors.PlatformError>> {
        return this.service.askChecked({
            method: "GET",
            path: endpoints.membershipPath,
            validate: schema.validators.platformMembershipAnswer,
        });
    }

    /** Gives the connection up. */
    close(): void {
        this.service.close();
    }
}
