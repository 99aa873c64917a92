/** Lint rules: the TypeScript team's style, and the project's own rules that syntax selectors can check. */
import * as tseslint from "typescript-eslint";

const projectSyntaxRules = [
    { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
    {
        selector: "ImportDeclaration > ImportSpecifier",
        message: "Use a namespace import (import * as x).",
    },
    {
        selector: "ImportDeclaration > ImportDefaultSpecifier",
        message: "Use a namespace import (import * as x).",
    },
    {
        selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/], TSTypeAliasDeclaration[id.name=/^[IT][A-Z]/]",
        message: "Don't prefix type names with I or T.",
    },
    {
        selector: "ClassDeclaration[id.name=/^I[A-Z][a-z]/]",
        message: "Don't prefix class names with I.",
    },
    { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
];

export default tseslint.config(
    { ignores: ["**/dist/", "target/", "**/generated/", "**/node_modules/"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-console": "error",
            "no-restricted-syntax": ["error", ...projectSyntaxRules],
            "quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
    { files: ["scripts/**", "packages/*/scripts/**"], rules: { "no-console": "off" } },
);
