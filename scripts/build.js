// Bundles each runnable program into its package's dist folder. Workspace packages
// are bundled; packages from the registry are loaded from node_modules.
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

// Dependencies that are not bundled: all registry packages in the manifests.
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
