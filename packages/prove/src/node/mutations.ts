/**
 * Mutations of the daemon: each disables the mechanism behind one point, to show
 * that the check of the point then fails. A mutation replaces text of the source
 * while it is bundled, and fails when the text is not there.
 */

import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { build } from 'esbuild'
import { WORKSPACE_FOLDER } from '@cyclamenusher/stand-ins'
import type { Plugin } from 'esbuild'
import type { FaultName } from './faults/faults.js'
import type { PointName } from './points.js'

export interface Edit {
  /** Path below `packages`. */
  file: string
  find: string
  replace: string
}

export interface Mutation {
  /** How the mutant behaves. */
  name: string
  edits: Edit[]
  /** Scenario in which the mutation shows. */
  scenario: string
  /** Faults under which it shows. @default undefined - those that the seed picks */
  faults?: FaultName[]
}

const DAEMON_FOLDER = 'cyclamenusherd/src/node'
const DECISIONS_FOLDER = 'decisions/src/node'

export const MUTATIONS: Partial<Record<PointName, Mutation>> = {
  'read-your-writes': {
    name: 'replicas serve whatever the session has seen',
    scenario: 'data',
    faults: ['replica far behind'],
    edits: [{ file: `${DECISIONS_FOLDER}/group/route.ts`, find: '.filter(({ status }) => includesPosition(lastAppliedPosition(status), requiredPosition))', replace: '.filter(() => requiredPosition !== undefined)' }]
  },
  'replaced-primary': {
    name: 'the primary\'s own word acknowledges a commit',
    scenario: 'data',
    faults: ['cut domain of primary'],
    edits: [{ file: `${DAEMON_FOLDER}/process/group/groupMonitor.ts`, find: "if (majorityHolds(current, required)) return 'held'", replace: "if (majorityHolds(current, required) || required.term > 0) return 'held'" }]
  },
  'transactions-apart': {
    name: 'a connection goes back to the pool in the middle of a transaction',
    scenario: 'data',
    faults: ['slow links'],
    edits: [
      { file: `${DAEMON_FOLDER}/request/requestRunner.ts`, find: 'if (pinned !== undefined) releaseLease(pinned, false)', replace: 'if (pinned !== undefined) releaseLease(pinned, true)' },
      { file: `${DAEMON_FOLDER}/process/pool.ts`, find: '!connection.isReusable()', replace: '!connection.isOpen()' }
    ]
  },
  'account-isolation': {
    name: 'any valid key opens any account',
    scenario: 'accounts',
    edits: [{ file: `${DAEMON_FOLDER}/version/rulesStore.ts`, find: 'if (found === undefined || found.account !== account) return undefined', replace: 'if (found === undefined) return undefined' }]
  },
  'key-hidden': {
    name: 'the key is passed to the backend server as the application\'s name',
    scenario: 'accounts',
    edits: [
      { file: `${DAEMON_FOLDER}/process/callers.ts`, find: 'if (!store.isFresh()) throw', replace: '(globalThis as any).lastKey = key; if (!store.isFresh()) throw' },
      { file: `${DAEMON_FOLDER}/connection/backendConnection.ts`, find: 'new pg.Client({ host,', replace: 'new pg.Client({ application_name: (globalThis as any).lastKey, host,' }
    ]
  },
  'key-withdrawn': {
    name: 'the key is looked at only when the caller connects',
    scenario: 'accounts',
    edits: [
      { file: `${DAEMON_FOLDER}/process/callers.ts`, find: 'if (identity.key === undefined) return undefined', replace: 'if (identity.account !== undefined) return undefined' },
      { file: `${DAEMON_FOLDER}/process/admission.ts`, find: 'if (!store.isValid(identity)) throw', replace: 'if (identity.account === undefined) throw' }
    ]
  },
  rate: {
    name: 'a new home of an account starts with a full burst',
    scenario: 'rate',
    edits: [{ file: `${DAEMON_FOLDER}/process/rate/rateTask.ts`, find: '{ ...DEFAULT_RATE_POLICY,', replace: "{ ...DEFAULT_RATE_POLICY, mutation: 'new home starts full'," }]
  },
  'whole-answer': {
    name: 'a connection is lent again after its request ran out of time',
    scenario: 'answers',
    faults: ['slow links'],
    edits: [
      { file: `${DAEMON_FOLDER}/request/requestRunner.ts`, find: 'releaseLease(running.lease, false)', replace: 'releaseLease(running.lease, true)' },
      { file: `${DAEMON_FOLDER}/request/requestRunner.ts`, find: 'releaseLease(current.lease, false)', replace: 'releaseLease(current.lease, true)' },
      { file: `${DAEMON_FOLDER}/process/pool.ts`, find: '!connection.isReusable()', replace: '!connection.isOpen()' }
    ]
  },
  'not-run': {
    name: 'an outcome that nobody knows is called "not run"',
    scenario: 'data',
    faults: ['slow links', 'connections to primary closed'],
    edits: [{ file: `${DAEMON_FOLDER}/request/requestRunner.ts`, find: "'the backend server was lost before it said whether the work was committed', 'unknown')", replace: "'the backend server was lost before it said whether the work was committed', 'not run')" }]
  },
  'at-most-once': {
    name: 'a write is sent again after its server was lost',
    scenario: 'data',
    faults: ['slow links', 'connections to primary closed'],
    edits: [{ file: `${DAEMON_FOLDER}/request/requestRunner.ts`, find: "return need === 'read' && !wasInTransaction", replace: 'return !wasInTransaction' }]
  },
  leaving: {
    name: 'a leaving server is used like any other',
    scenario: 'departures',
    edits: [{ file: `${DAEMON_FOLDER}/process/group/memberLink.ts`, find: 'leaving: readFlag(row.leaving)', replace: "leaving: row.leaving === 'never'" }]
  },
  'graceful-shutdown': {
    name: 'a shutdown waits for nobody',
    scenario: 'departures',
    edits: [{ file: `${DAEMON_FOLDER}/process/callers.ts`, find: 'const deadline = services.now() + milliseconds', replace: 'const deadline = services.now() - milliseconds' }]
  },
  configuration: {
    name: 'instances keep the configuration that they have',
    scenario: 'configuration',
    edits: [{ file: `${DAEMON_FOLDER}/version/rulesStore.ts`, find: 'const changed = message.number > number', replace: 'const changed = message.number > number && number < 4' }]
  }
}

function createMutationPlugin (edits: readonly Edit[]): { plugin: Plugin, missing: () => Edit[] } {
  const missing = new Set(edits)
  const plugin: Plugin = {
    name: 'mutate',
    setup: ({ onLoad, onResolve }) => {
      onResolve({ filter: /^[^./]/ }, ({ path, kind }) => kind === 'entry-point' || path.startsWith('@cyclamenusher/') ? undefined : { path, external: true })
      onLoad({ filter: /\.ts$/ }, ({ path }) => {
        const fileEdits = edits.filter(({ file }) => path === join(WORKSPACE_FOLDER, 'packages', file))
        let contents = readFileSync(path, 'utf8')
        for (const edit of fileEdits) {
          if (!contents.includes(edit.find)) continue
          missing.delete(edit)
          contents = contents.replaceAll(edit.find, edit.replace)
        }
        return { contents, loader: 'ts' }
      })
    }
  }
  return { plugin, missing: () => [...missing] }
}

/** Bundles the daemon with the mutation. @throws Error when a text to replace is not in the source */
export async function buildMutant (point: PointName, { edits }: Mutation): Promise<string> {
  const outfile = join(WORKSPACE_FOLDER, 'packages/cyclamenusherd/dist/mutants', point, 'main.js')
  const { plugin, missing } = createMutationPlugin(edits)
  await build({
    entryPoints: [join(WORKSPACE_FOLDER, 'packages/cyclamenusherd/src/node/main.ts')],
    outfile,
    bundle: true,
    platform: 'node',
    format: 'esm',
    target: 'node20',
    plugins: [plugin],
    logLevel: 'warning'
  })
  const [missingEdit] = missing()
  if (missingEdit !== undefined) throw new Error(`the mutation of ${point} does not match ${missingEdit.file}: "${missingEdit.find}" is not in it`)
  return outfile
}
