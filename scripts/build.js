// Bundles each binary and each runnable program into its package's dist folder.
// Packages from the registry stay outside the bundles; workspace packages go in.
import { build } from 'esbuild'
import { readFileSync, rmSync } from 'node:fs'

const programs = [
  ['packages/cyclamenusherd', ['main']],
  ['packages/cyclamenusher', ['main']],
  ['packages/stand-ins', ['main', 'link/dialThroughLinks']],
  ['packages/measure', ['main', 'slopes/main', 'bench/main']],
  ['packages/prove', ['main']],
  ['playground', ['demo']]
]

// What leaves the bundle: every dependency of every package, read from the manifests.
const external = [...new Set(programs.concat([['packages/decisions'], ['packages/protocol']])
  .flatMap(([folder]) => Object.keys(JSON.parse(readFileSync(`${folder}/package.json`, 'utf8')).dependencies ?? {}))
  .filter(name => !name.startsWith('@cyclamenusher/'))
  .flatMap(name => [name, `${name}/*`]))]

for (const [folder, names] of programs) {
  const source = folder === 'playground' ? 'src' : 'src/node'
  rmSync(`${folder}/dist`, { recursive: true, force: true })
  await build({
    entryPoints: names.map(name => ({ in: `${folder}/${source}/${name}.ts`, out: name })),
    outdir: `${folder}/dist`,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    sourcemap: 'linked',
    external,
    logLevel: 'warning'
  })
}
