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

/**
 * Leaves the parts of undici out that aren't used (fetch, WebSocket, caches): a process that restarts would spend a third
 * of its processor time until it is ready on loading them.
 */
const undiciPoolOnly = {
    name: "undici-pool-only",
    setup(build) {
        build.onResolve({ filter: /^undici$/ }, () => ({ path: "undici", namespace: "undici-pool-only" }));
        build.onLoad({ filter: /.*/, namespace: "undici-pool-only" }, () => ({
            contents: 'export { default as Client } from "undici/lib/dispatcher/client.js";'
                + 'export { default as Pool } from "undici/lib/dispatcher/pool.js";'
                + 'export { default as buildConnector } from "undici/lib/core/connect.js";',
            resolveDir: root,
        }));
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
    plugins: [workspaceSources, undiciPoolOnly],
    logLevel: "warning",
});
