// Bundles the program for the users' platform and all its dependencies into target/platform.cjs.
import { build } from 'esbuild'

await build({
  entryPoints: [{ in: 'platform/src/main.ts', out: 'platform' }],
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  minifyWhitespace: true,
  minifySyntax: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  sourcemap: 'linked',
  logLevel: 'warning'
})
