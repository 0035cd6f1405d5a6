/**
 * A primary crashes for a moment and is back as primary, while the server that is being promoted
 * in its place begins to drain. This is done at one service after the other.
 */

import { fileURLToPath } from 'node:url'
import { BOUNDS, KEY, PORTS, hasTrouble, runCase, startDeployment } from '../harness-3/deployment.mjs'
import { openSession, pause } from '../harness-3/wire.mjs'

const DOWN_MILLISECONDS = 600
/** From the promotion call to the draining of the server that it names; the promotion takes effect 600 ms after the call. */
const DRAIN_AFTER_MILLISECONDS = 250
const BETWEEN_SERVICES_MILLISECONDS = 5_000
const NAMES = ['huvo11a', 'huvo11b', 'huvo11c', 'huvo11d']
const DATABASES = new Map(NAMES.map((name, index) => [name, `lepu27${index}`]))

runCase(async () => {
  const broken = []
  /** What ran, by the id of the statement. */
  const runs = new Map()
  /** The last promotion of each service that took effect. */
  const promotions = new Map()
  /** When each server was back after its crash. */
  const returns = new Map()
  const deployment = await startDeployment({
    recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
    services: NAMES.map(name => ({ name, servers: 3 })),
    routes: [...DATABASES].map(([service, database]) => ({ kind: 'primary', database, service })),
    onRun: ({ server, id, text, at }) => {
      if (!text.startsWith('STORE')) return
      const newest = promotions.get(server.service)
      const isExcused = at - (returns.get(server) ?? -Infinity) < BOUNDS.FreezeSlackMs
      runs.set(id, { server: server.id, term: server.term, role: server.role, supersededBy: isExcused || newest === undefined || newest.server === server ? undefined : newest.server.id, since: newest === undefined ? undefined : at - newest.at })
    },
    onPromoted: server => {
      promotions.set(server.service, { server, at: Date.now() })
      deployment.record('promotion took effect', { server: server.id, term: server.term })
    }
  })
  const { entries, services, record, announce } = deployment
  let stopped = false
  const isRunning = () => !stopped
  let number = 0
  let acknowledged = 0
  function check (id) {
    const run = runs.get(id)
    acknowledged += 1
    if (run?.supersededBy !== undefined) broken.push(`ONE: ${id} was committed at ${run.server} in term ${run.term}, ${run.since} ms after the promotion of ${run.supersededBy} had taken effect, and acknowledged`)
  }
  async function press (entry, database) {
    while (isRunning()) {
      const session = await openSession({ host: entry.host, port: PORTS.callers }, database, KEY)
      while (isRunning() && !session.isClosed()) {
        number += 1
        const id = `c${number}`
        const reply = await session.query(id, `STORE a${number} d${number}`, 3_000)
        record('answer', { id, entry: entry.name, end: reply.fault ?? reply.digest, late: reply.late, closed: reply.closed, ...runs.get(id) })
        if (reply.digest !== undefined) check(id)
        if (reply.late || reply.state !== 'I') break
        await pause(30)
      }
      session.close()
      await pause(50)
    }
  }
  async function crashForAMoment (service) {
    const [primary] = service.servers
    record('crashes', { server: primary.id })
    await service.crash(primary)
    await pause(DOWN_MILLISECONDS)
    await service.restart(primary)
    returns.set(primary, Date.now())
    record('is back', { server: primary.id, role: primary.role })
    await announce(primary)
  }
  async function drain (server) {
    await pause(DRAIN_AFTER_MILLISECONDS)
    server.state = 'draining'
    record('drains', { server: server.id })
    await announce(server)
  }
  function drainAfterCall (service) {
    const { promote } = service
    service.promote = id => {
      drain(service.servers.find(each => each.id === id))
      service.promote = promote
      return promote(id)
    }
  }
  await pause(6_000)
  const clients = entries.flatMap(entry => [...DATABASES.values()].map(async database => { await press(entry, database) }))
  await pause(2_000)
  for (const service of services) {
    if (hasTrouble) {
      drainAfterCall(service)
      await crashForAMoment(service)
    }
    await pause(BETWEEN_SERVICES_MILLISECONDS)
  }
  stopped = true
  await Promise.race([Promise.all(clients), pause(3_500)])
  record('end', { acknowledged, servers: services.flatMap(({ servers }) => servers).map(({ id, role, term, log }) => `${id} ${role} ${term} ${log.length}`) })
  for (const line of broken.slice(0, 50)) record(line)
  await deployment.close()
  return broken
})
