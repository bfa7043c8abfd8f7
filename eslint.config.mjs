import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.recommended,
    ...tseslint.configs.stylistic,
    {
        files: ["packages/**/*.ts", "platform/**/*.ts"],
        rules: {
            "@typescript-eslint/no-empty-function": "off",
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/explicit-member-accessibility": ["error", { overrides: { constructors: "no-public" } }],
            "@typescript-eslint/explicit-function-return-type": ["error", { allowExpressions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "complexity": ["error", 15],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true }],
            "max-lines-per-function": ["error", { max: 60, skipBlankLines: true }],
            "no-console": "error",
            "no-else-return": "error",
            "prefer-const": "error",
            "require-yield": "off",
        },
    },
    {
        // Launchers are CommonJS files that load the compiled program.
        files: ["packages/*/bin/*.js"],
        rules: { "@typescript-eslint/no-require-imports": "off" },
    },
    {
        files: ["packages/**/*.test.ts", "platform/**/*.test.ts"],
        rules: { "max-lines-per-function": "off" },
    },
);
