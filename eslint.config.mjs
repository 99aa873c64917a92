/** Lint rules: the TypeScript team's style, and the house rules that can be checked by syntax. */
import * as tseslint from "typescript-eslint";

const houseSyntax = [
    { selector: "TSEnumDeclaration", message: "Use a constant object in place of an enum." },
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
        message: "Type names carry no prefix.",
    },
    {
        selector: "ClassDeclaration[id.name=/^I[A-Z][a-z]/]",
        message: "Type names carry no prefix.",
    },
    { selector: "Literal[raw='null']", message: "Use undefined in place of null." },
];

export default tseslint.config(
    { ignores: ["**/dist/", "**/generated/", "**/node_modules/"] },
    ...tseslint.configs.recommended,
    {
        rules: {
            "curly": "error",
            "eqeqeq": "error",
            "no-console": "error",
            "no-restricted-syntax": ["error", ...houseSyntax],
            "quotes": ["error", "double", { avoidEscape: true, allowTemplateLiterals: true }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
    { files: ["scripts/**", "packages/*/scripts/**"], rules: { "no-console": "off" } },
);
