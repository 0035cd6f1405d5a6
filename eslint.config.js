import neostandard from 'neostandard'
import { noInheritedKeys } from './scripts/lint/inheritedKeys.js'

// neostandard provides the rules of Standard style, including formatting: `eslint --fix`
// is the formatter, `eslint` the linter.
export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'packages/protocol/src/gen/**', 'coverage/**'] }),
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      // A promise that is not awaited is marked with `void`, the convention of typescript-eslint.
      'no-void': ['error', { allowAsStatement: true }],
      // The rule does not detect changes made by callbacks.
      'no-unmodified-loop-condition': 'off',
      'import-x/no-duplicates': 'off',
      'no-duplicate-imports': 'off'
    },
    files: ['**/*.ts']
  },
  {
    // What runs in production; tests, models and measurements choose their names themselves.
    files: ['decisions', 'protocol', 'cyclamenusherd', 'cyclamenusher'].map(name => `packages/${name}/src/**/*.ts`).concat('platform/src/**/*.ts'),
    ignores: ['**/__tests__/**', 'packages/decisions/src/node/model/**', 'packages/protocol/src/gen/**'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { local: { rules: { 'no-inherited-keys': noInheritedKeys } } },
    rules: { 'local/no-inherited-keys': 'error' }
  }
]
