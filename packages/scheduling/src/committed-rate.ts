/**
 * Committed rates of organisations: which jobs lie beyond the number of jobs per second that their organisation is owed.
 *
 * The answer follows from the organisation, ID and time of submission of the stored jobs alone, whatever their order of
 * arrival. So a new coordinator gets the same as its predecessor, and a process that refuses submissions the same as the
 * coordinator, once both have read the same submissions.
 *
 * Each job within the rate takes a token of its organisation; tokens come back at the committed rate. Jobs beyond the
 * rate take none, so an organisation that sends more than its rate still gets the rate, spread evenly over time.
 */
import type * as jobState from "@catkinwharf/job-state";

/** Time in ms whose committed jobs an organisation may submit at once. */
const burstSpan = 2000;
/**
 * Smallest number of jobs that an organisation may submit at once. Of random arrivals at half of a small committed rate,
 * 33% lay beyond it with 1 job, 10% with 2 and 0.8% with 4.
 */
const minBurst = 4;
/**
 * Length in ms of the periods at whose start every organisation may submit a burst again. A job's answer depends only on
 * jobs of its own period: the records of settled jobs are removed after minutes, and a successor no longer reads them.
 */
const period = 30_000;
/**
 * Time in ms for which jobs are kept after the end of their period. Longer than jobs are of use to their callers; older
 * ones count as within the rate.
 */
const retention = 300_000;

interface Submission {
    readonly id: string;
    /** Unix time in ms. */
    readonly submittedAt: number;
    beyond: boolean;
    /** Tokens left after this job. */
    tokens: number;
}

/** Submissions of an organisation in one period. */
interface Period {
    /** In order of submission, then of ID. */
    readonly submissions: Submission[];
    readonly byId: Map<string, Submission>;
    /** Index of the first submission that hasn't been judged since the submissions before it changed. */
    unjudgedFrom: number;
}

/** What decides about a job. */
export type SubmittedJob = Pick<jobState.Job, "id" | "organisation" | "submittedAt">;

export class CommittedRates {
    #weights: ReadonlyMap<string, number> = new Map();
    /** By organisation and number of the period. */
    readonly #periods = new Map<string, Map<number, Period>>();

    /** @param weights committed jobs per second by organisation; 0 is no committed rate */
    setWeights(weights: ReadonlyMap<string, number>): void {
        this.#weights = weights;
        for (const periods of this.#periods.values()) {
            periods.forEach(found => found.unjudgedFrom = 0);
        }
    }

    /** Adds a stored submission; one that is known already changes nothing. */
    add({ id, organisation, submittedAt }: SubmittedJob): void {
        if (organisation === undefined) {
            return;
        }
        const found = this.#getOrCreatePeriod(organisation, submittedAt);
        if (found.byId.has(id)) {
            return;
        }
        const submission = { id, submittedAt, beyond: false, tokens: 0 };
        const position = findPosition(found.submissions, submission);
        found.submissions.splice(position, 0, submission);
        found.byId.set(id, submission);
        found.unjudgedFrom = Math.min(found.unjudgedFrom, position);
    }

    /** Whether a job lies beyond the committed rate, by the submissions that were added. False for one that wasn't. */
    isBeyond({ id, organisation, submittedAt }: SubmittedJob): boolean {
        const weight = this.#findWeight(organisation);
        if (weight === undefined) {
            return false;
        }
        const found = this.#findPeriod(organisation!, submittedAt);
        if (found === undefined) {
            return false;
        }
        judge(found, weight);
        return found.byId.get(id)?.beyond ?? false;
    }

    /** Whether a job that is submitted now would lie beyond the committed rate. */
    wouldBeBeyond({ id, organisation, submittedAt }: SubmittedJob): boolean {
        const weight = this.#findWeight(organisation);
        if (weight === undefined) {
            return false;
        }
        const found = this.#findPeriod(organisation!, submittedAt);
        if (found === undefined) {
            return false;
        }
        judge(found, weight);
        const position = findPosition(found.submissions, { id, submittedAt });
        return countTokens(found.submissions[position - 1], submittedAt, weight) < 1;
    }

    /** Forgets jobs that are of no use to their callers any more; `wall` is Unix time in ms. */
    forgetOld(wall: number): void {
        for (const [organisation, periods] of this.#periods) {
            for (const number of periods.keys()) {
                if ((number + 1) * period + retention < wall) {
                    periods.delete(number);
                }
            }
            if (periods.size === 0) {
                this.#periods.delete(organisation);
            }
        }
    }

    #findWeight(organisation: string | undefined): number | undefined {
        const weight = organisation === undefined ? undefined : this.#weights.get(organisation);
        return weight === 0 ? undefined : weight;
    }

    #findPeriod(organisation: string, submittedAt: number): Period | undefined {
        return this.#periods.get(organisation)?.get(Math.floor(submittedAt / period));
    }

    #getOrCreatePeriod(organisation: string, submittedAt: number): Period {
        let periods = this.#periods.get(organisation);
        if (periods === undefined) {
            periods = new Map();
            this.#periods.set(organisation, periods);
        }
        const number = Math.floor(submittedAt / period);
        let found = periods.get(number);
        if (found === undefined) {
            found = { submissions: [], byId: new Map(), unjudgedFrom: 0 };
            periods.set(number, found);
        }
        return found;
    }
}

/** Judges the submissions that haven't been judged; records arrive nearly in order, so these are few. */
function judge(found: Period, weight: number): void {
    const { submissions } = found;
    for (let i = found.unjudgedFrom; i < submissions.length; i++) {
        const submission = submissions[i]!;
        const tokens = countTokens(submissions[i - 1], submission.submittedAt, weight);
        submission.beyond = tokens < 1;
        submission.tokens = submission.beyond ? tokens : tokens - 1;
    }
    found.unjudgedFrom = submissions.length;
}

/** @param previous submission before `submittedAt` in the same period; `undefined` if that would be the first one */
function countTokens(previous: Submission | undefined, submittedAt: number, weight: number): number {
    const burst = Math.max(minBurst, weight * burstSpan / 1000);
    return previous === undefined
        ? burst
        : Math.min(burst, previous.tokens + weight * (submittedAt - previous.submittedAt) / 1000);
}

/** Position at which the submission belongs. */
function findPosition(submissions: readonly Submission[], submission: Pick<Submission, "id" | "submittedAt">): number {
    let low = 0;
    let high = submissions.length;
    while (low < high) {
        const middle = (low + high) >>> 1;
        if (isBefore(submissions[middle]!, submission)) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

function isBefore(
    a: Pick<Submission, "id" | "submittedAt">,
    b: Pick<Submission, "id" | "submittedAt">,
): boolean {
    return a.submittedAt < b.submittedAt || (a.submittedAt === b.submittedAt && a.id < b.id);
}
