/**
 * Bundles the entry process into a single file in target/, directly from the sources. One file loads faster than many.
 */
import * as esbuild from "esbuild";
import * as path from "node:path";

const root = path.resolve(import.meta.dirname, "..");

/** Resolves workspace packages to their sources, so that the bundle does not depend on an earlier build. */
const workspaceSources = {
    name: "workspace-sources",
    setup(build) {
        build.onResolve({ filter: /^@catkinwharf\// }, ({ path: name }) => {
            const packageName = name.slice("@catkinwharf/".length);
            const parentFolder = packageName === "platform" ? root : path.join(root, "packages");
            return { path: path.join(parentFolder, packageName, "src/index.ts") };
        });
    },
};

await esbuild.build({
    absWorkingDir: root,
    entryPoints: ["packages/node/src/main.ts"],
    outfile: "target/catkinwharf-node.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    banner: {
        js: 'import { createRequire as createBundleRequire } from "node:module"; const require = createBundleRequire(import.meta.url);',
    },
    plugins: [workspaceSources],
    logLevel: "warning",
});
