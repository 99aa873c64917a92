/**
 * Reads deployment files by name.
 */
import * as errors from "@catkinwharf/errors";
import * as schema from "@catkinwharf/schema";
import * as settings from "@catkinwharf/settings";
import * as testUtils from "@catkinwharf/test-utils";
import * as neverthrow from "neverthrow";
import * as path from "node:path";

const folder = path.resolve(import.meta.dirname, "../../../deployments");

/** Reads `deployments/NAME.jsonc`; `small` is built in. */
export function readNamedDeployment(
    name: string,
): neverthrow.Result<schema.settings.Deployment, errors.SettingsError> {
    return name === "small"
        ? neverthrow.ok(testUtils.createSmallDeployment(2))
        : settings.readDeployment(path.join(folder, `${name}.jsonc`));
}
