/** A replica that leaves is the only one that received the newest commits when the primary crashes. */

import { fileURLToPath } from 'node:url'
import { openSession } from '../harness/clients.js'
import { pause, runCase, waitFor } from '../harness/case.js'
import { startSystem } from '../harness/setup.js'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))

const WRITES = 20
/** As long as a server that leaves still serves. */
const WATCH_MILLISECONDS = 7_000

await runCase(FOLDER, async ({ record, trouble, onEnd }) => {
  const { deployment, service, provider } = await startSystem({ record, onEnd, synchronousReplicas: 1 })
  const [primary, leaving, other] = service.servers
  const session = await openSession({ host: deployment.entryHosts()[0], port: deployment.ports.callers, database: 'db-primary', key: 'key-of-tenant-1' })
  const acknowledged = []

  async function write (number) {
    const { id, code } = await session.query(`STORE item-${number} data`)
    record(`client: write ${id} is answered ${code}`)
    if (code === 'COMPLETE') acknowledged.push(id)
  }

  for (let number = 0; number < WRITES; number += 1) await write(number)
  // Planned work: one server of the service is replaced.
  await service.drain(leaving)
  await pause(300)
  if (trouble) {
    record(`${other.id} receives nothing from now on`)
    other.receives = false
  }
  for (let number = 0; number < WRITES; number += 1) await write(number)
  if (acknowledged.length < WRITES) throw new Error('the writes were not served')
  const heldByLeaving = acknowledged.filter(id => leaving.log.some(({ ids }) => ids.includes(id))).length
  if (trouble) service.crash(primary)
  await waitFor(() => service.servers.some(({ role, up, term }) => role === 'primary' && up && term > primary.term), WATCH_MILLISECONDS)
  await pause(500)
  const [promotion] = provider.calls
  if (promotion === undefined) return { broken: false, summary: `${acknowledged.length} writes were acknowledged, and no server was promoted` }
  const promoted = service.servers.find(({ id }) => id === promotion.id)
  const kept = new Set(promoted.log.flatMap(({ ids }) => ids))
  const lost = acknowledged.filter(id => !kept.has(id))
  for (const id of lost) record(`lost: the acknowledged write ${id} is not in the log of ${promoted.id}`)
  return { broken: lost.length > 0, summary: `${lost.length} of ${acknowledged.length} acknowledged writes are not in the log of ${promoted.id}, which was promoted; ${leaving.id}, which leaves and still serves, held ${heldByLeaving} of them` }
})
