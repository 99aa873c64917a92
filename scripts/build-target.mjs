/**
 * Bundles the process of an entry instance into target/, straight from the sources: one file starts faster than many.
 */
import * as esbuild from "esbuild";
import * as path from "node:path";

const root = path.resolve(import.meta.dirname, "..");

/** Workspace packages are bundled from their sources, so that no earlier build is needed. */
const workspaceSources = {
    name: "workspace-sources",
    setup(build) {
        build.onResolve({ filter: /^@catkinwharf\// }, ({ path: name }) => {
            const folder = name.slice("@catkinwharf/".length);
            const parent = folder === "platform" ? root : path.join(root, "packages");
            return { path: path.join(parent, folder, "src/index.ts") };
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
