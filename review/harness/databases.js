/**
 * Stand-ins of one service: a primary and its replicas, with a log, asynchronous or
 * synchronous replication, promotions and drains, as the users' protocol page has them.
 */

import { createServer } from 'node:net'
import { createLineReader, splitWord } from './lines.js'

/** Statements that a server runs at once, and that wait for it at most; it refuses others as busy. */
const SLOTS = 3
const QUEUE = 24
const CONNECT_MILLISECONDS = 12
const RECEIVE_MILLISECONDS = 2
const APPLY_MILLISECONDS = 60
const PROMOTION_MILLISECONDS = 600
const BEAT_MILLISECONDS = 1_200
const SESSION_VERBS = new Set(['SET', 'PREPARE', 'DISCARD'])

const pause = milliseconds => new Promise(resolve => { setTimeout(resolve, milliseconds) })

/** Whether a log that ends at `held` lacks `wanted`. */
function lacks (held, wanted) {
  return held.term === wanted.term ? held.number < wanted.number : held.term < wanted.term
}

export function createService ({ name, deployment, record, synchronousReplicas = 0, workMilliseconds = 4, onRun = () => {} }) {
  const servers = []
  let pendingPromotion

  function createDatabase (index) {
    const host = `${deployment.prefix}.${31 + index}`
    const database = {
      id: `i-${index + 1}${Math.random().toString(16).slice(2, 8)}`,
      host,
      port: deployment.ports.server,
      zone: deployment.zones[index % deployment.zones.length],
      role: index === 0 ? 'primary' : 'replica',
      term: 3,
      state: 'ready',
      up: true,
      /** Whether the server receives what its primary sends. */
      receives: true,
      /** Entries { term, number, id } that the server has received; it has applied those before `applied`. */
      log: [],
      applied: 0,
      born: Date.now(),
      sequence: 0,
      heldTerm: 0,
      running: 0,
      queued: [],
      connections: new Set(),
      /** Hook of a case: returns true if the bytes of a connection are held up. */
      holdsUp: () => false
    }
    return database
  }

  const endOf = (database, length = database.log.length) => length === 0 ? { term: database.term, number: 1_000 } : { term: Math.max(database.log[length - 1].term, database.role === 'primary' ? database.term : 0), number: database.log[length - 1].number }
  const receivedBy = database => endOf(database)
  const visibleAt = database => database.role === 'primary' ? endOf(database) : endOf(database, database.applied)

  function deliver (replica, primary, entry) {
    if (!replica.up || !replica.receives || replica.role !== 'replica' || !primary.up) return false
    const known = replica.log.findIndex(({ term, number }) => term === entry.term && number === entry.number)
    if (known !== -1) return true
    // A replica receives the log without gaps.
    const position = primary.log.indexOf(entry)
    for (let index = replica.log.length; index <= position; index += 1) replica.log.push(primary.log[index])
    const length = replica.log.length
    setTimeout(() => { replica.applied = Math.max(replica.applied, Math.min(length, replica.log.length)) }, APPLY_MILLISECONDS)
    return true
  }

  /** Appends a commit, and resolves once it may be acknowledged. */
  async function commit (primary, ids) {
    const entry = { term: primary.term, number: receivedBy(primary).number + 1, ids }
    primary.log.push(entry)
    primary.applied = primary.log.length
    record(`${primary.id} commits ${ids.join(',')} as ${entry.term}.${entry.number}`)
    await pause(RECEIVE_MILLISECONDS)
    let holders = servers.filter(replica => replica !== primary && deliver(replica, primary, entry)).length
    while (holders < synchronousReplicas && primary.up) {
      await pause(20)
      holders = servers.filter(replica => replica !== primary && deliver(replica, primary, entry)).length
    }
  }

  /** Replicas that missed entries receive them later. */
  const catchUpTimer = setInterval(() => {
    const primary = servers.find(({ role, up }) => role === 'primary' && up)
    const newest = primary?.log.at(-1)
    if (newest !== undefined) for (const replica of servers) if (replica !== primary) deliver(replica, primary, newest)
  }, 100)

  /** Occupies a slot for a while. Resolves with whether there was one, or room to wait for it. */
  async function occupySlot (database, milliseconds) {
    if (database.running >= SLOTS) {
      if (database.queued.length >= QUEUE) return false
      await new Promise(resolve => { database.queued.push(resolve) })
    } else {
      database.running += 1
    }
    await pause(milliseconds)
    const next = database.queued.shift()
    if (next === undefined) database.running -= 1
    else next()
    return true
  }

  function statusRow (database) {
    const { term, number } = receivedBy(database)
    return `${database.role} ${database.term} ${term}.${number} ${database.heldTerm} 0 0 ${database.connections.size}`
  }

  async function run (database, session, id, text) {
    const [verb, rest] = splitWord(text)
    if (verb === 'AFTER') {
      const [position, inner] = splitWord(rest)
      const [term, number] = position.split('.').map(Number)
      return lacks(visibleAt(database), { term, number }) ? { fault: `LAGGING ${database.id}` } : await run(database, session, id, inner)
    }
    if (verb === 'STATUS') return { rows: [statusRow(database)], digest: '-' }
    if (verb === 'STEPDOWN') {
      if (database.role === 'primary' && database.term < Number(rest)) stepDown(database)
      return { rows: [statusRow(database)], digest: '-' }
    }
    if (SESSION_VERBS.has(verb)) {
      if (verb === 'DISCARD') session.prepared.clear()
      if (verb === 'PREPARE') session.prepared.set(...splitWord(rest))
      return { rows: [], digest: '-' }
    }
    if (verb === 'EXECUTE') {
      const [statement, parameters] = splitWord(rest)
      const shape = session.prepared.get(statement)
      return shape === undefined ? { fault: `NOSTMT ${statement}` } : await run(database, session, id, `${splitWord(shape)[0]} ${parameters}`)
    }
    if (!await occupySlot(database, workMilliseconds)) return { fault: `BUSY ${database.id}` }
    const isReplica = database.role === 'replica'
    const digest = `${database.term}.${Math.random().toString(16).slice(2)}`
    if (verb === 'BEGIN') {
      if (isReplica && rest === '') return { fault: `READONLY ${database.id}` }
      session.open = true
      return { rows: [], digest: '-' }
    }
    if (verb === 'ROLLBACK') {
      Object.assign(session, { open: false, writes: [] })
      return { rows: [], digest: '-' }
    }
    if (verb === 'FETCH') {
      onRun({ database, id, text, account: session.account, at: performance.now() })
      return { rows: [`row-of-${rest}`], digest }
    }
    if (verb === 'STORE' || verb === 'COMMIT') {
      if (isReplica && (verb === 'STORE' || session.writes.length > 0)) return { fault: `READONLY ${database.id}` }
      onRun({ database, id, text, account: session.account, at: performance.now() })
      if (verb === 'STORE') session.writes.push(id)
      if (verb === 'COMMIT' || !session.open) {
        const { writes } = session
        Object.assign(session, { open: false, writes: [] })
        if (writes.length > 0) await commit(database, writes)
      }
      return { rows: [], digest }
    }
    return { fault: `MALFORMED ${verb}` }
  }

  function serve (database, socket) {
    const readLines = createLineReader()
    const session = { account: undefined, open: false, writes: [], prepared: new Map() }
    let last = Promise.resolve()
    database.connections.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => { database.connections.delete(socket) })
    socket.on('data', chunk => {
      for (const line of readLines(chunk)) last = last.then(async () => { await answer(line) })
    })

    function send (text) {
      if (!socket.destroyed && database.up && !database.holdsUp(socket)) socket.write(text, 'latin1')
    }

    async function answer (line) {
      if (!database.up || database.holdsUp(socket)) return
      const [word, rest] = splitWord(line)
      if (word === 'TERMINATE') return socket.end()
      if (word === 'STARTUP') {
        const [service, account, expected] = rest.split(' ')
        await occupySlot(database, CONNECT_MILLISECONDS)
        if (service !== name || (expected !== undefined && expected !== database.id)) return socket.end(`FAULT MISROUTED ${database.id}\r\n`)
        session.account = account
        const { term, number } = visibleAt(database)
        return send(`READY I ${term}.${number}\r\n`)
      }
      const [id, text] = splitWord(rest)
      const { rows = [], digest, fault } = await run(database, session, id, text)
      const { term, number } = visibleAt(database)
      const state = session.open ? (fault === undefined ? 'T' : 'E') : 'I'
      send(`${rows.map(row => `DATAROW ${row}\r\n`).join('')}${fault === undefined ? `COMPLETE ${digest}` : `FAULT ${fault}`}\r\nREADY ${state} ${term}.${number}\r\n`)
    }
  }

  function stepDown (database) {
    record(`${database.id} steps down`)
    const primary = servers.find(({ role, up, term }) => role === 'primary' && up && term > database.term)
    Object.assign(database, { role: 'replica', log: primary === undefined ? database.log : [...primary.log], term: primary?.term ?? database.term })
    database.applied = database.log.length
    beat(database)
  }

  let target = 0
  /** Sends one check-in, to another control instance after a failure. Resolves with whether it was acknowledged. */
  async function call (database, path, body) {
    const url = `http://${deployment.controlHosts[target % 3]}:${deployment.ports.api}${path}`
    try {
      const response = await fetch(url, { method: 'POST', headers: { 'content-type': 'application/json', connection: 'close' }, body: JSON.stringify(body), signal: AbortSignal.timeout(1_000) })
      await response.text()
      if (response.ok) return true
    } catch {}
    target += 1
    return false
  }

  async function beat (database) {
    if (!database.up) return false
    database.sequence += 1
    return await call(database, `/v1/Instances.Heartbeat/${database.id}`, {
      Service: name, Address: `${database.host}:${database.port}`, Zone: database.zone, Version: 'v1', CapacitySlots: 3, State: database.state, WarmupRemainingMs: 0, DatabaseRole: database.role, Sequence: database.sequence, born: database.born
    })
  }

  async function beatUntilAcknowledged (database) {
    while (database.up && !await beat(database)) await pause(50)
  }

  async function start (database) {
    database.listener = createServer({ noDelay: true }, socket => { serve(database, socket) })
    await new Promise((resolve, reject) => {
      database.listener.once('error', reject)
      database.listener.listen(database.port, database.host, resolve)
    })
    await beatUntilAcknowledged(database)
    database.timer = setInterval(() => { beat(database) }, BEAT_MILLISECONDS)
  }

  const service = {
    name,
    servers,
    startAll: async () => {
      for (let index = 0; index < 3; index += 1) servers.push(createDatabase(index))
      await Promise.all(servers.map(start))
    },
    primary: () => servers.filter(({ role, up }) => role === 'primary' && up).sort((left, right) => right.term - left.term)[0],
    /** Announces that the server leaves, and resolves once that is acknowledged. */
    drain: async database => {
      database.state = 'draining'
      await beatUntilAcknowledged(database)
      record(`${database.id} announced that it leaves, and that was acknowledged`)
    },
    /** The server crashes: its connections close, and its address refuses new ones. */
    crash: database => {
      record(`${database.id} crashes, as ${database.role}`)
      database.up = false
      clearInterval(database.timer)
      database.listener.close()
      for (const socket of database.connections) socket.destroy()
    },
    /** Makes the server the primary after a while, as the provider's call orders. Returns the HTTP status. */
    promote: id => {
      const chosen = servers.find(database => database.id === id)
      if (chosen === undefined || !chosen.up) return 409
      if (service.primary() === chosen || pendingPromotion === id) return 200
      pendingPromotion = id
      setTimeout(() => {
        pendingPromotion = undefined
        if (!chosen.up) return
        const former = servers.filter(database => database !== chosen && database.role === 'primary' && database.up)
        const term = Math.max(...servers.map(database => database.term)) + 1
        Object.assign(chosen, { role: 'primary', term, applied: chosen.log.length })
        record(`${id} leads term ${term}; its log ends at ${receivedBy(chosen).number}`)
        for (const replica of servers) {
          if (replica === chosen || !replica.up || replica.role === 'primary') continue
          Object.assign(replica, { log: [...chosen.log.slice(0, replica.log.length)], term })
          replica.applied = Math.min(replica.applied, replica.log.length)
        }
        beat(chosen)
        for (const database of former) setTimeout(() => { if (database.role === 'primary' && database.term < term) stepDown(database) }, 1_000)
      }, PROMOTION_MILLISECONDS)
      return 200
    },
    close: () => {
      clearInterval(catchUpTimer)
      for (const database of servers) {
        database.up = false
        clearInterval(database.timer)
        database.listener?.close()
        for (const socket of database.connections) socket.destroy()
      }
    }
  }
  return service
}
