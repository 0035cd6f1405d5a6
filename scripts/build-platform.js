// Bundles the program for the users' platform and all its dependencies into target/program.cjs,
// writes V8's code cache of it, and bundles what loads both into target/platform.cjs. The
// argument, if there is one, is another folder than target/.
import { execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { resolve } from 'node:path'
import { build } from 'esbuild'

const folder = resolve(process.argv[2] ?? 'target')

await build({
  entryPoints: [
    { in: 'platform/src/main.ts', out: 'program' },
    { in: 'platform/src/start.ts', out: 'platform' },
    { in: 'packages/cyclamenusherd/src/node/startup/writeCodeCache.ts', out: 'writeCodeCache' }
  ],
  outdir: folder,
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

// V8 uses a code cache only under the flags with which it was written.
const [, command] = /^run = "node (.*) target\/platform\.cjs/m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
const flags = command?.split(' ') ?? []
const expression = 'require(process.argv[1] + "/writeCodeCache.cjs").writeCodeCache(process.argv[1] + "/program.cjs")'
execFileSync(process.execPath, [...flags, '--eval', expression, folder], { stdio: 'inherit' })
