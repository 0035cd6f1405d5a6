/** A stand-in for a database server of the platform: the wire, its log, replication, check-ins and promotion. */

import { randomBytes } from 'node:crypto'
import { createServer } from 'node:net'
import { request } from 'node:http'
import { PORTS, createLines, splitWord } from './network.js'

const HEARTBEAT_MILLISECONDS = 1_200
const CHECK_IN_TIMEOUT_MILLISECONDS = 1_000
/** Statements that wait for a slot before the server answers that it is busy. */
const QUEUE_LENGTH = 24
const REPLICA_LAG_MILLISECONDS = 20

/** Sends one JSON call; resolves with the status, or undefined if there was no answer in time. */
export async function callJson ({ host, port }, method, path, body, headers = {}, timeout = CHECK_IN_TIMEOUT_MILLISECONDS) {
  return await new Promise(resolve => {
    const text = body === undefined ? '' : JSON.stringify(body)
    const call = request({ host, port, method, path, agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => { chunks.push(chunk) })
      response.on('end', () => {
        clearTimeout(timer)
        resolve({ status: response.statusCode, body: Buffer.concat(chunks).toString('utf8') })
      })
      response.on('error', () => { resolve(undefined) })
    })
    const timer = setTimeout(() => {
      call.destroy()
      resolve(undefined)
    }, timeout)
    call.on('error', () => {
      clearTimeout(timer)
      resolve(undefined)
    })
    call.end(text)
  })
}

/**
 * Starts a server. `group` is shared by the servers of a service: `{ name, servers, items }`.
 * `onRun` is called with each statement that runs, and when it arrived (`at`).
 */
export async function startServer ({ id, host, zone, role, group, controls, workMilliseconds = 1, slots = 3, readRows, maximumConnections = 200, onRun = () => {}, onReceive = () => {}, log = () => {}, advertised = { host, port: PORTS.server } }) {
  const sockets = new Set()
  const born = Date.now()
  const server = {
    id,
    host,
    zone,
    role,
    term: 1,
    log: [],
    state: 'ready',
    stopped: false,
    /** Replication and stepping down reach this server. */
    connected: true,
    busySlots: 0,
    waiting: [],
    sequence: 0,
    born
  }

  const position = () => server.log.length === 0 ? { term: 1, number: 0 } : server.log.at(-1)
  const positionText = () => `${position().term}.${position().number}`
  const hasPosition = text => {
    const [term, number] = text.split('.').map(Number)
    if (number === 0) return true
    return server.log.some(entry => entry.term === term && entry.number === number)
  }
  server.positionText = positionText

  function itemsNow () {
    const items = new Map()
    for (const { writes } of server.log) for (const [item, data] of writes) items.set(item, data)
    return items
  }

  /** Appends a commit, and sends it to the replicas, which apply it later. */
  function commitWrites (writes, statementId) {
    const entry = { term: server.term, number: position().number + 1, writes: [...writes], id: statementId }
    server.log.push(entry)
    for (const replica of group.servers) {
      if (replica === server || !replica.connected || !server.connected) continue
      setTimeout(() => { replica.receive(server) }, replica.lagMilliseconds ?? REPLICA_LAG_MILLISECONDS)
    }
    return entry
  }

  server.receive = primary => {
    if (server.stopped || server.role === 'primary' || !server.connected || !primary.connected || primary.role !== 'primary' || primary.term < server.term) return
    server.term = primary.term
    server.log = [...primary.log]
  }

  /** Makes this server the primary of the next term, with what it has received. */
  server.lead = () => {
    const terms = group.servers.map(({ term }) => term)
    server.role = 'primary'
    server.term = Math.max(...terms) + 1
    log('leads', { id, term: server.term, position: positionText() })
    checkIn()
  }

  server.stepDown = term => {
    if (server.role !== 'primary' || term <= server.term) return
    server.role = 'replica'
    log('stepped down', { id, term })
    const primary = group.servers.find(other => other.role === 'primary' && other.term === term)
    if (primary !== undefined) server.receive(primary)
    checkIn()
  }

  async function withSlot (run) {
    if (server.busySlots >= slots) {
      if (server.waiting.length >= QUEUE_LENGTH) return undefined
      await new Promise(resolve => { server.waiting.push(resolve) })
    } else server.busySlots += 1
    await new Promise(resolve => { workMilliseconds === 0 ? setImmediate(resolve) : setTimeout(resolve, workMilliseconds) })
    const result = run()
    const next = server.waiting.shift()
    if (next === undefined) server.busySlots -= 1
    else next()
    return result
  }

  const digestOf = () => `7.${randomBytes(6).toString('hex')}`
  const status = () => ({ rows: [`${server.role} ${server.term} ${positionText()} ${server.term} 0 ${server.busySlots} ${sockets.size}`], digest: '-' })

  function access (session, statementId, verb, rest) {
    if (server.role === 'replica' && verb === 'STORE') return { fault: `READONLY ${id}` }
    if (session.plain && server.role === 'replica') return { fault: `READONLY ${id}` }
    if (verb === 'FETCH') {
      const value = session.writes.get(rest) ?? itemsNow().get(rest)
      const rows = readRows?.(rest) ?? (value === undefined ? [] : [value])
      const digest = digestOf()
      onRun({ id: statementId, verb, item: rest, account: session.account, server: id, position: positionText(), at: session.receivedAt, inTransaction: session.open })
      return { rows, digest }
    }
    const [item, data] = splitWord(rest)
    session.writes.set(item, data)
    onRun({ id: statementId, verb, item, data, account: session.account, server: id, at: session.receivedAt, inTransaction: session.open })
    if (!session.open) {
      commitWrites(session.writes, statementId)
      session.writes = new Map()
    }
    return { rows: [], digest: digestOf() }
  }

  function commit (session, statementId) {
    const wrote = session.writes.size > 0
    if (session.state === 'E') {
      endTransaction(session)
      return { rows: [], digest: '-' }
    }
    if (wrote && server.role === 'replica') return { fault: `READONLY ${id}` }
    if (wrote) commitWrites(session.writes, statementId)
    onRun({ id: statementId, verb: 'COMMIT', account: session.account, server: id, position: positionText(), at: session.receivedAt, wrote })
    endTransaction(session)
    return { rows: [], digest: digestOf() }
  }

  function endTransaction (session) {
    Object.assign(session, { open: false, plain: false, state: 'I', writes: new Map() })
  }

  async function runText (session, statementId, text) {
    const [verb, rest] = splitWord(text)
    if (verb === 'AFTER') {
      const [wanted, inner] = splitWord(rest)
      return hasPosition(wanted) ? await runText(session, statementId, inner) : { fault: `LAGGING ${id}` }
    }
    const HANDLERS = {
      STATUS: status,
      STEPDOWN: () => {
        server.stepDown(Number(rest))
        return status()
      },
      BEGIN: () => {
        if (rest === '' && server.role === 'replica') return { fault: `READONLY ${id}` }
        Object.assign(session, { open: true, plain: rest === '', state: 'T' })
        return { rows: [], digest: '-' }
      },
      ROLLBACK: () => {
        endTransaction(session)
        return { rows: [], digest: '-' }
      },
      SET: () => {
        session.values.set(...splitWord(rest))
        return { rows: [], digest: '-' }
      },
      PREPARE: () => {
        session.prepared.set(...splitWord(rest))
        return { rows: [], digest: '-' }
      },
      DISCARD: () => {
        session.values.clear()
        session.prepared.clear()
        return { rows: [], digest: '-' }
      }
    }
    if (HANDLERS[verb] !== undefined) return HANDLERS[verb]()
    if (verb === 'COMMIT') return await withSlot(() => commit(session, statementId)) ?? { fault: `BUSY ${id}` }
    if (verb === 'EXECUTE') {
      const [name, parameters] = splitWord(rest)
      const definition = session.prepared.get(name)
      if (definition === undefined) return { fault: `NOSTMT ${name}` }
      return await withSlot(() => access(session, statementId, splitWord(definition)[0], parameters)) ?? { fault: `BUSY ${id}` }
    }
    if (verb === 'FETCH' || verb === 'STORE') return await withSlot(() => access(session, statementId, verb, rest)) ?? { fault: `BUSY ${id}` }
    return { fault: `MALFORMED ${verb}` }
  }

  function serve (socket) {
    sockets.add(socket)
    const session = { account: undefined, open: false, plain: false, state: 'I', writes: new Map(), values: new Map(), prepared: new Map() }
    let turn = Promise.resolve()
    async function handle (line, receivedAt) {
      const [word, rest] = splitWord(line)
      if (word === 'TERMINATE') return socket.end()
      if (word === 'STARTUP') {
        const [service, account, expected] = rest.split(' ')
        if (service !== group.name || (expected !== undefined && expected !== id)) return socket.end(`FAULT MISROUTED ${id}\r\n`)
        if (sockets.size > maximumConnections) return socket.end(`FAULT TOOMANY ${id}\r\n`)
        session.account = account
        return socket.write(`READY I ${positionText()}\r\n`)
      }
      const [statementId, text] = splitWord(rest)
      session.receivedAt = receivedAt
      onReceive(statementId)
      const result = await runText(session, statementId, text)
      if (socket.destroyed) return
      if (result.fault !== undefined && session.open) session.state = 'E'
      const body = result.fault === undefined ? `${result.rows.map(row => `DATAROW ${row}\r\n`).join('')}COMPLETE ${result.digest}\r\n` : `FAULT ${result.fault}\r\n`
      socket.write(`${body}READY ${session.state} ${positionText()}\r\n`, 'latin1')
    }
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => { sockets.delete(socket) })
    socket.on('data', createLines(line => {
      const receivedAt = performance.now()
      turn = turn.then(async () => { await handle(line, receivedAt) })
    }))
  }

  let target = 0
  async function checkIn () {
    if (server.stopped) return false
    server.sequence += 1
    const body = { Service: group.name, Address: `${advertised.host}:${advertised.port}`, Zone: zone, Version: 'v1', CapacitySlots: slots, State: server.state, WarmupRemainingMs: 0, DatabaseRole: server.role, Sequence: server.sequence, born }
    for (let attempt = 0; attempt < controls.length; attempt += 1) {
      const answer = await callJson(controls[target % controls.length], 'POST', `/v1/Instances.Heartbeat/${id}`, body)
      if (answer !== undefined && answer.status >= 200 && answer.status < 300) return true
      target += 1
    }
    return false
  }

  const listener = createServer(serve)
  await new Promise((resolve, reject) => {
    listener.once('error', reject)
    listener.listen({ host, port: PORTS.server }, resolve)
  })
  const timer = setInterval(() => { checkIn() }, HEARTBEAT_MILLISECONDS)
  server.checkIn = checkIn
  /** Reports that the server drains; resolves with whether that was acknowledged. */
  server.drain = async () => {
    server.state = 'draining'
    return await checkIn()
  }
  server.close = () => {
    server.stopped = true
    clearInterval(timer)
    for (const socket of sockets) socket.destroy()
    listener.close()
  }
  server.connectionCount = () => sockets.size
  group.servers.push(server)
  return server
}
