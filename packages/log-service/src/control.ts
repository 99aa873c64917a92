/**
 * Client of the platform's instance control.
 */
import type * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import * as endpoints from "./endpoints.js";
import * as serviceClient from "./service-client.js";

/** Reboots instances and reads their usage. Each call makes one attempt; retries are left to the caller. */
export class ControlClient {
    private readonly client: serviceClient.ServiceClient;

    constructor(options: serviceClient.ServiceClientOptions) {
        this.client = new serviceClient.ServiceClient(options);
    }

    /** Starts a reboot. The id makes it idempotent, so a call that fails as `unanswered` may be repeated. */
    reboot(
        instance: string,
        id: string,
    ): Promise<neverthrow.Result<schema.platform.RebootAnswer, errors.PlatformError>> {
        return this.client.sendValidated({
            method: "POST",
            path: endpoints.formatStartRebootPath(instance),
            body: { id } satisfies schema.platform.RebootRequest,
            validate: schema.validators.platformRebootAnswer,
        });
    }

    /** Reads the state of a reboot; fails as `refused` if the platform doesn't know its id. */
    readReboot(
        instance: string,
        id: string,
    ): Promise<neverthrow.Result<schema.platform.RebootAnswer, errors.PlatformError>> {
        return this.client.sendValidated({
            method: "GET",
            path: endpoints.formatRebootPath(instance, id),
            validate: schema.validators.platformRebootAnswer,
        });
    }

    /** Reads the usage of all instances, which the platform reports with a lag. */
    readUsage(): Promise<neverthrow.Result<schema.platform.UsageAnswer, errors.PlatformError>> {
        return this.client.sendValidated({
            method: "GET",
            path: endpoints.usagePath,
            validate: schema.validators.platformUsageAnswer,
        });
    }

    /** Closes the connection. */
    close(): void {
        this.client.close();
    }
}
