import neostandard from 'neostandard'

// neostandard carries the rules of Standard style, the formatting ones too:
// `eslint --fix` is the formatter, `eslint` the linter.
export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'packages/protocol/src/gen/**', 'coverage/**'] }),
  {
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { prefer: 'type-imports', fixStyle: 'separate-type-imports' }],
      // A promise that nobody waits for is marked with `void`, as TypeScript's own linter has it.
      'no-void': ['error', { allowAsStatement: true }],
      // The rule does not see that a callback changes the variable.
      'no-unmodified-loop-condition': 'off',
      'import-x/no-duplicates': 'off',
      'no-duplicate-imports': 'off'
    },
    files: ['**/*.ts']
  }
]
