/**
 * Client of the platform's control of instances.
 */
import type * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import type * as neverthrow from "neverthrow";
import * as endpoints from "./endpoints.js";
import * as service from "./service.js";

/** Reboots instances and reads their usage. Each call is one attempt; the caller decides when to try again. */
export class ControlClient {
    private readonly service: service.Service;

    constructor(options: service.ServiceOptions) {
        this.service = new service.Service(options);
    }

    /** Starts a reboot. Idempotent: the same id never reboots twice, so an unanswered call may be repeated. */
    reboot(
        instance: string,
        id: string,
    ): Promise<neverthrow.Result<schema.platform.RebootAnswer, errors.PlatformError>> {
        return this.service.askChecked({
            method: "POST",
            path: endpoints.formatStartRebootPath(instance),
            body: { id } satisfies schema.platform.RebootRequest,
            validate: schema.validators.platformRebootAnswer,
        });
    }

    /** State of a reboot that was asked for; `refused` if the platform doesn't know its id. */
    readReboot(
        instance: string,
        id: string,
    ): Promise<neverthrow.Result<schema.platform.RebootAnswer, errors.PlatformError>> {
        return this.service.askChecked({
            method: "GET",
            path: endpoints.formatRebootPath(instance, id),
            validate: schema.validators.platformRebootAnswer,
        });
    }

    /** Usage of all instances, with the platform's lag. */
    readUsage(): Promise<neverthrow.Result<schema.platform.UsageAnswer, errors.PlatformError>> {
        return this.service.askChecked({
            method: "GET",
            path: endpoints.usagePath,
            validate: schema.validators.platformUsageAnswer,
        });
    }

    /** Gives the connection up. */
    close(): void {
        this.service.close();
    }
}
