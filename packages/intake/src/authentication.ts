/**
 * Finds the organisation of a request by its API key. Keys are looked up in the configuration anew for each request, so a
 * revoked key stops working on open connections, too.
 */
import * as platform from "@catkinwharf/platform";

/** Why a request is refused whose route needs a key. */
export const KeyFault = {
    missing: "the request has no API key",
    malformed: "the Authorization header is malformed",
    unknown: "the API key is unknown",
} as const;
export type KeyFault = (typeof KeyFault)[keyof typeof KeyFault];

export type Authentication =
    /** `organisation` is its name; `undefined` if the request needs no key. */
    | { readonly accepted: true; readonly organisation: string | undefined; }
    | { readonly accepted: false; readonly fault: KeyFault; };

export interface AuthenticatorOptions {
    /** The deployment has organisations, whether or not the configuration names any. */
    readonly requiresKeys: boolean;
}

export class Authenticator {
    #version: number | undefined;
    #organisationsByKey: ReadonlyMap<string, string> = new Map();

    constructor(private readonly options: AuthenticatorOptions) {}

    hasOrganisations(configuration: platform.operatorRecords.Configuration): boolean {
        return this.options.requiresKeys || configuration.organisations.length > 0;
    }

    /** Whether requests for the route need a key. */
    needsKey(route: platform.operatorRecords.Route, configuration: platform.operatorRecords.Configuration): boolean {
        return !route.isPublic && this.hasOrganisations(configuration);
    }

    /** @param header value of the request's Authorization header */
    authenticate(
        header: string | undefined,
        route: platform.operatorRecords.Route,
        configuration: platform.operatorRecords.Configuration,
    ): Authentication {
        if (!this.needsKey(route, configuration)) {
            return { accepted: true, organisation: undefined };
        }
        if (header === undefined) {
            return { accepted: false, fault: KeyFault.missing };
        }
        const key = platform.callerBodies.decodeAuthorization(header);
        if (key === undefined) {
            return { accepted: false, fault: KeyFault.malformed };
        }
        const organisation = this.#indexKeys(configuration).get(key);
        return organisation === undefined
            ? { accepted: false, fault: KeyFault.unknown }
            : { accepted: true, organisation };
    }

    #indexKeys(configuration: platform.operatorRecords.Configuration): ReadonlyMap<string, string> {
        if (this.#version !== configuration.version) {
            this.#version = configuration.version;
            this.#organisationsByKey = new Map(
                configuration.organisations.flatMap(({ name, keys }) => keys.map(key => [key, name] as const)),
            );
        }
        return this.#organisationsByKey;
    }
}
