import neostandard from 'neostandard'

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
  }
]
