/** A tenant's name is a word that every object of JavaScript knows; the day ends with a final fault of the core. */

import { rmSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openSession } from '../harness/clients.js'
import { pause, runCase } from '../harness/case.js'
import { buildManifest, declareManifest } from '../harness/platform.js'
import { startSystem } from '../harness/setup.js'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))

const TENANT = process.env.TENANT ?? 'constructor'
const RECOVERY_MILLISECONDS = 12_000
const DOWN_MILLISECONDS = 800
const WATCH_MILLISECONDS = 8_000

await runCase(FOLDER, async ({ record, trouble, onEnd }) => {
  const { deployment, service } = await startSystem({ record, onEnd })
  const controls = [...deployment.machines.values()].filter(({ role }) => role === 'control').map(({ name }) => name)

  /** Clients of tenant-1 send single reads and writes, each on a session of its own, until the time is over. */
  async function serve (milliseconds) {
    const until = performance.now() + milliseconds
    const codes = []
    await Promise.all(deployment.entryHosts().flatMap(host => ['db-primary', 'db-own', 'db-bounded'].map(async (database, index) => {
      for (let number = 0; performance.now() < until; number += 1) {
        const session = await openSession({ host, port: deployment.ports.callers, database, key: 'key-of-tenant-1' })
        const { code } = session === undefined ? { code: 'REFUSED' } : await session.query(index === 0 && number % 5 === 0 ? `STORE item-${number} data` : `FETCH item-${number}`)
        session?.close()
        codes.push(code)
        await pause(100)
      }
    })))
    const served = codes.filter(code => code === 'COMPLETE').length
    record(`${served} of ${codes.length} requests of tenant-1 served (${[...new Set(codes)].map(code => `${codes.filter(other => other === code).length} ${code}`).join(', ')})`)
    return served / codes.length
  }

  const manifest = buildManifest({ version: 2, service: service.name })
  manifest.Tenants.push({ Name: TENANT, ApiKeys: ['key-of-another-tenant'], Priority: 1, RatePerS: 85, Burst: 85 })
  await declareManifest(deployment, manifest)
  record(`a manifest with the tenant ${TENANT} is acknowledged`)
  const before = await serve(WATCH_MILLISECONDS)
  await declareManifest(deployment, { ...manifest, Version: 3 })
  record('another manifest is acknowledged')
  if (trouble) {
    for (const name of controls) deployment.signal(name, 'SIGKILL')
    await pause(DOWN_MILLISECONDS)
    const [wiped] = controls
    record(`${wiped} comes back with an empty disk, the others with theirs`)
    rmSync(join(deployment.folder, wiped), { recursive: true, force: true })
    for (const name of controls) deployment.restart(name)
  }
  await pause(RECOVERY_MILLISECONDS)
  const after = await serve(WATCH_MILLISECONDS)
  const percent = part => `${Math.round(part * 100)}%`
  return { broken: before >= 0.25 && after < 0.25, summary: `${percent(before)} of the requests of tenant-1 were served before, and ${percent(after)} of those sent later than ${RECOVERY_MILLISECONDS / 1000} s after the machines were back` }
})
