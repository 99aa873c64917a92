/**
 * Organisations of a soak: draws them with keys and quotas, changes both while jobs are submitted, and judges by what servers
 * and callers saw whether quotas and keys were heeded.
 */
import type * as bench from "@catkinwharf/bench";
import * as platformStandIns from "@catkinwharf/platform-stand-ins";
import * as timers from "node:timers/promises";

/** A key that a request carries, and its organisation; one that isn't valid belongs to none. */
export interface Credentials {
    readonly key: string;
    readonly organisation: string | undefined;
}

/** A submission that was answered with success. */
export interface AcceptedRequest {
    readonly job: string;
    readonly key: string;
    /** Unix time in ms. */
    readonly sentAt: number;
}

interface Version {
    /** When the store confirmed it; Unix time in ms. */
    readonly publishedAt: number;
    readonly organisations: readonly platformStandIns.OrganisationDescription[];
}

/** Of the submissions: those of the first organisation, with an invalid key, and with a revoked one. */
const hotShare = 0.6;
const invalidShare = 0.03;
const revokedShare = 0.03;
/** Range in thousandths of a core of a quota. */
const minLimit = 2000;
const maxLimit = 16_000;
/** Mean time in ms between two changes of a key or a quota. */
const changeInterval = 2500;
/** Ms for which a replaced quota may still decide: until the new one is in force, and late orders are carried out. */
const limitGrace = 8000;

export class Organisations {
    readonly #versions: Version[] = [];
    readonly #demands = new Map<string, platformStandIns.TaskDemand>();
    #keyCount = 0;
    #stopped = false;

    /** @param revocation ms from the confirmation of a configuration without a key until the key is refused */
    constructor(private readonly random: bench.RandomSource, private readonly revocation: number) {
        const names = ["hot", "b", "c"];
        this.#record(names.map(name => ({
            name,
            keys: [this.#createKey(), this.#createKey()],
            cpuLimit: this.#drawLimit(),
        })));
    }

    get present(): readonly platformStandIns.OrganisationDescription[] {
        return this.#versions.at(-1)!.organisations;
    }

    /**
     * Changes a key or a quota now and then, until `stop` is called.
     *
     * @param interval mean time in ms between two changes
     */
    async run(deployment: platformStandIns.StandInDeployment, interval = changeInterval): Promise<void> {
        while (!this.#stopped) {
            await timers.setTimeout(this.random.nextExponential(interval));
            const chosen = this.random.pick(this.present);
            const changed = this.#change(chosen);
            const organisations = this.present.map(other => other === chosen ? changed : other);
            deployment.publishConfiguration(undefined, organisations);
            this.#record(organisations);
        }
    }

    stop(): void {
        this.#stopped = true;
    }

    #change(organisation: platformStandIns.OrganisationDescription): platformStandIns.OrganisationDescription {
        const { keys } = organisation;
        const changes = [
            () => ({ ...organisation, keys: [...keys, this.#createKey()] }),
            () => ({ ...organisation, keys: [this.#createKey(), ...keys.slice(2)] }),
            () => ({ ...organisation, cpuLimit: this.#drawLimit() }),
        ];
        return this.random.pick(changes)();
    }

    #record(organisations: readonly platformStandIns.OrganisationDescription[]): void {
        this.#versions.push({ publishedAt: Date.now(), organisations });
    }

    #createKey(): string {
        this.#keyCount += 1;
        return `key-${this.#keyCount}-${this.random.nextBelow(2 ** 31)}`;
    }

    #drawLimit(): number {
        return minLimit + this.random.nextBelow(maxLimit - minLimit);
    }

    /** Draws the key of a submission. */
    draw(): Credentials {
        const drawn = this.random.next();
        if (drawn < invalidShare) {
            return {
                key: this.random.pick(["__proto__", "constructor", "key-1", this.#createKey()]),
                organisation: undefined,
            };
        }
        const inForce = this.#listKeys(this.#listInForce(Date.now(), this.revocation));
        const revoked = this.#listKeys(this.#versions).filter(key => !inForce.includes(key));
        if (drawn < invalidShare + revokedShare && revoked.length > 0) {
            return { key: this.random.pick(revoked), organisation: undefined };
        }
        const [hot, ...others] = this.present;
        const { name, keys } = this.random.next() < hotShare ? hot! : this.random.pick(others);
        return { key: this.random.pick(keys), organisation: name };
    }

    /** A key of the caller's organisation that is valid now; the same one for a caller without a valid key. */
    renew({ key, organisation }: Credentials): string {
        const { keys } = this.present.find(({ name }) => name === organisation) ?? { keys: [key] };
        return keys.includes(key) ? key : keys[0]!;
    }

    /** Records what a task of the job demands, in thousandths of a core. */
    recordDemand(job: string, { organisation }: Credentials, cpu: number): void {
        if (organisation !== undefined) {
            this.#demands.set(job, { organisation, cpu });
        }
    }

    /** Whether the organisation's running tasks take half of its quota or more, so that others of it may have to wait. */
    isHalfUsed(name: string | undefined, running: readonly string[], findCpu: (task: string) => number): boolean {
        const limit = this.present.find(organisation => organisation.name === name)?.cpuLimit;
        const used = running.filter(task => this.#demands.get(task.slice(0, task.indexOf(".")))?.organisation === name)
            .reduce((sum, task) => sum + findCpu(task), 0);
        return limit !== undefined && used * 2 >= limit;
    }

    findQuotaExcesses(history: readonly platformStandIns.RunRecord[]): string[] {
        const findDemand = (task: string) => this.#demands.get(task.slice(0, task.indexOf(".")));
        const findLimit = (organisation: string, at: number) =>
            Math.max(
                ...this.#listInForce(at, limitGrace).map(({ organisations }) =>
                    organisations.find(({ name }) => name === organisation)!.cpuLimit
                ),
            );
        return platformStandIns.findQuotaExcesses(history, findDemand, findLimit);
    }

    /**
     * Describes each submission that was accepted with a key of no configuration, or with one that was revoked too long
     * before it was sent, and each run of a job that was submitted with such keys only.
     */
    findForeignRequests(
        accepted: readonly AcceptedRequest[],
        history: readonly platformStandIns.RunRecord[],
    ): string[] {
        const known = new Set(this.#listKeys(this.#versions));
        const requests = accepted.flatMap(({ job, key, sentAt }) => {
            const isInForce = this.#listKeys(this.#listInForce(sentAt, this.revocation)).includes(key);
            const cause = !known.has(key) ? "was never valid" : isInForce ? undefined : "was revoked";
            return cause === undefined ? [] : [`${job}: accepted at ${sentAt} with a key that ${cause}`];
        });
        const runs = history.map(({ task }) => task).filter(task =>
            !this.#demands.has(task.slice(0, task.indexOf(".")))
        );
        return [...requests, ...runs.map(task => `${task}: run for no valid key`)];
    }

    #listKeys(versions: readonly Version[]): string[] {
        return versions.flatMap(({ organisations }) => organisations.flatMap(({ keys }) => keys));
    }

    /** Versions that may have decided at that time, as they were replaced less than `delay` ms before, or not yet. */
    #listInForce(at: number, delay: number): Version[] {
        return this.#versions.filter(({ publishedAt }, i) =>
            publishedAt <= at && (this.#versions[i + 1]?.publishedAt ?? at) + delay >= at
        );
    }
}
