/**
 * Changes requested by operators: validated, appended to the log, and answered with the verdict of the fold.
 */
import * as errors from "@catkinwharf/errors";
import * as fleetState from "@catkinwharf/fleet-state";
import * as schema from "@catkinwharf/schema";
import * as fleetView from "./fleet-view.js";
import * as records from "./records.js";

/** Time limit in ms for a change to be appended and read back. */
const changeTimeoutMs = 10_000;

export interface OperatorChangesOptions {
    readonly view: fleetView.FleetView;
    readonly stream: fleetView.RecordAppender;
    readonly clock: () => number;
    readSession(): string;
    /** Whether a record appended now can be expected to be read back. */
    isLogReachable(): boolean;
}

/** Answer for a change that was not appended because it is invalid. */
export function createInvalid(reason: string): schema.operator.ChangeAnswer {
    return { status: "invalid", version: 0, offset: -1, reason };
}

/** Answer for a change that was not appended because the log is unreachable. */
function createUnavailable(reason: string): schema.operator.ChangeAnswer {
    return { status: "unavailable", version: 0, offset: -1, reason };
}

export class OperatorChanges {
    readonly #options: OperatorChangesOptions;

    constructor(options: OperatorChangesOptions) {
        this.#options = options;
    }

    publishProfile(document: unknown): Promise<schema.operator.ChangeAnswer> {
        const check = schema.validators.operatorProfileChange;
        if (!check(document)) {
            return Promise.resolve(createInvalid(schema.describeFailure(check.errors)));
        }
        return this.#append({ ...this.#createHeader(), kind: "profile-published", ...document });
    }

    publishConfiguration(document: unknown): Promise<schema.operator.ChangeAnswer> {
        const check = schema.validators.operatorConfigurationChange;
        if (!check(document)) {
            return Promise.resolve(createInvalid(schema.describeFailure(check.errors)));
        }
        return this.#append({ ...this.#createHeader(), kind: "configuration-published", ...document });
    }

    announceStop(document: unknown): Promise<schema.operator.ChangeAnswer> {
        const check = schema.validators.operatorStopChange;
        if (!check(document)) {
            return Promise.resolve(createInvalid(schema.describeFailure(check.errors)));
        }
        return this.#append({ ...this.#createHeader(), kind: "stop-announced", stop: document.stop });
    }

    cancelStop(name: string): Promise<schema.operator.ChangeAnswer> {
        return this.#append({ ...this.#createHeader(), kind: "stop-cancelled", stop: name });
    }

    #createHeader(): records.RecordHeader {
        return records.createHeader(this.#options.readSession());
    }

    async #append(record: schema.log.FleetRecord): Promise<schema.operator.ChangeAnswer> {
        const check = schema.validators.logFleetRecord;
        if (!check(record)) {
            return createInvalid(schema.describeFailure(check.errors));
        }
        if (!this.#options.isLogReachable()) {
            return createUnavailable(describeUnreachableLog("it does not answer reads"));
        }
        const deadline = this.#options.clock() + changeTimeoutMs;
        const proposalResult = await this.#options.view.propose(this.#options.stream, record, deadline);
        return proposalResult.match(toChangeAnswer, toErrorAnswer);
    }
}

function toChangeAnswer(proposalResult: fleetView.ProposalResult): schema.operator.ChangeAnswer {
    const { verdict, offset } = proposalResult;
    if (verdict.applied) {
        return { status: "accepted", version: verdict.version, offset, reason: "" };
    }
    const status = verdict.ignored === fleetState.IgnoreReason.conflict ? "conflict" : "invalid";
    return { status, version: verdict.version, offset, reason: verdict.ignored ?? "" };
}

const errorAnswers: Readonly<Record<errors.PlatformFault, (reason: string) => schema.operator.ChangeAnswer>> = {
    [errors.PlatformFault.unanswered]: () => createUnknown("the log did not answer; look at the status"),
    [errors.PlatformFault.malformed]: reason => createUnknown(`the log's answer can't be read (${reason})`),
    [errors.PlatformFault.notRetained]: reason => createUnknown(`the record is no longer kept (${reason})`),
    [errors.PlatformFault.unreachable]: reason => createUnavailable(describeUnreachableLog(reason)),
    [errors.PlatformFault.backlogFull]: reason => createUnavailable(describeUnreachableLog(reason)),
    [errors.PlatformFault.refused]: reason => createInvalid(`the log refused the record (${reason})`),
};

function toErrorAnswer(error: errors.PlatformError): schema.operator.ChangeAnswer {
    return errorAnswers[error.fault](error.reason);
}

function createUnknown(reason: string): schema.operator.ChangeAnswer {
    return { status: "unknown", version: 0, offset: -1, reason };
}

function describeUnreachableLog(reason: string): string {
    return `the log is out of reach (${reason}); nothing was published`;
}
