/** A stand-in for the servers of one service, as the protocol page describes them. */

import { createHash } from 'node:crypto'
import { createServer } from 'node:net'
import { createLineReader, pause, splitFirstWord } from './wire.mjs'

/** Time until a replica has received a commit, in milliseconds. */
const REPLICATION_MILLISECONDS = 20
/** Interval at which a replica that has missed commits fetches them, in milliseconds. */
const CATCH_UP_MILLISECONDS = 200

/**
 * Starts the servers of a service, one for each host; the first one is the primary.
 *
 * `onRun` is called with each read, write, begin and commit that runs. `rowsOf` returns the
 * rows of a read, if they are not the stored data.
 */
export async function startService ({ name, hosts, port, zones, workMilliseconds = 5, maximumConnections = 46, synchronousReplicas = 0, onRun = () => {}, onPromoted = () => {}, rowsOf = () => undefined }) {
  const servers = []
  let term = 1
  let lastDigest = 0

  function digestOf (server, text) {
    lastDigest += 1
    return `${lastDigest}.${createHash('sha256').update(`${server.id} ${lastDigest} ${text}`).digest('hex').slice(0, 16)}`
  }

  function positionOf ({ log }) {
    const last = log.at(-1)
    return last === undefined ? { term: 1, number: 0 } : { term: last.term, number: last.number }
  }

  function writePosition (server) {
    const position = positionOf(server)
    return `${position.term}.${position.number}`
  }

  function holds (server, text) {
    const [wantedTerm, wantedNumber] = text.split('.').map(Number)
    const { term: ownTerm, number } = positionOf(server)
    return ownTerm > wantedTerm || (ownTerm === wantedTerm && number >= wantedNumber)
  }

  function isBehind (replica, primary) {
    return replica !== primary && replica.role === 'replica' && replica.running && replica.deaf !== true && primary.running && primary.role === 'primary' && writePosition(replica) !== writePosition(primary)
  }

  /** Gives a replica the primary's log up to an entry. */
  function receive (replica, primary, length) {
    if (!isBehind(replica, primary) || replica.term > primary.term) return
    const log = primary.log.slice(0, length)
    if (replica.term === primary.term && replica.log.length >= log.length) return
    replica.log = log
    replica.term = primary.term
    replica.items = new Map(log.flatMap(({ writes }) => writes))
    for (const wake of primary.waiting.splice(0)) wake()
  }

  function commit (server, writes) {
    const entry = { term: server.term, number: positionOf(server).number + 1, writes: [...writes] }
    server.log.push(entry)
    for (const [item, data] of writes) server.items.set(item, data)
    const { length } = server.log
    for (const replica of servers) setTimeout(() => { receive(replica, server, length) }, REPLICATION_MILLISECONDS)
  }

  /** Waits until as many replicas as the service declares have received the server's log so far. */
  async function awaitReplicas (server) {
    const { length } = server.log
    const count = () => servers.filter(replica => replica !== server && replica.running && replica.term === server.term && replica.log.length >= length).length
    while (count() < synchronousReplicas && server.running && server.role === 'primary') await new Promise(resolve => { server.waiting.push(resolve) })
  }

  function statusRow (server) {
    return `${server.role} ${server.term} ${writePosition(server)} 0 0 ${server.busy} ${server.sockets.size}`
  }

  function runText (server, connection, id, text) {
    const [verb, rest] = splitFirstWord(text)
    const ran = { rows: [], digest: digestOf(server, text) }
    const note = () => { onRun({ server, connection, id, text, account: connection.account, digest: ran.digest, at: Date.now() }) }
    if (verb === 'AFTER') {
      const [position, inner] = splitFirstWord(rest)
      return holds(server, position) ? runText(server, connection, id, inner) : { fault: 'LAGGING' }
    }
    if (verb === 'STATUS') return { rows: [statusRow(server)], digest: '-' }
    if (verb === 'STEPDOWN') {
      if (server.role === 'primary' && Number(rest) > server.term) server.role = 'replica'
      return { rows: [statusRow(server)], digest: '-' }
    }
    if (verb === 'DISCARD') {
      connection.values.clear()
      connection.prepared.clear()
      return { rows: [], digest: '-' }
    }
    if (verb === 'SET') {
      connection.values.set(...splitFirstWord(rest))
      return { rows: [], digest: '-' }
    }
    if (verb === 'PREPARE') {
      connection.prepared.set(...splitFirstWord(rest))
      return { rows: [], digest: '-' }
    }
    if (verb === 'DEALLOCATE') {
      connection.prepared.delete(rest)
      return { rows: [], digest: '-' }
    }
    if (verb === 'EXECUTE') {
      const [statement, parameters] = splitFirstWord(rest)
      const shape = connection.prepared.get(statement)
      return shape === undefined ? { fault: 'NOSTMT' } : runText(server, connection, id, `${splitFirstWord(shape)[0]} ${parameters}`)
    }
    if (verb === 'ROLLBACK') {
      note()
      connection.writes = undefined
      return ran
    }
    if (verb === 'BEGIN') {
      if (rest !== 'FETCH' && server.role !== 'primary') return { fault: 'READONLY' }
      note()
      connection.writes = new Map()
      connection.plain = rest !== 'FETCH'
      return { rows: [], digest: digestOf(server, text) }
    }
    const lostLead = connection.writes !== undefined && connection.plain && server.role !== 'primary'
    if (verb === 'COMMIT') {
      if (lostLead && connection.writes.size > 0) return { fault: 'READONLY' }
      note()
      const wrote = connection.writes?.size > 0
      if (wrote) commit(server, connection.writes)
      connection.writes = undefined
      return { ...ran, wrote }
    }
    if (lostLead) return { fault: 'READONLY' }
    if (verb === 'STORE') {
      if (server.role !== 'primary') return { fault: 'READONLY' }
      const [item, data] = splitFirstWord(rest)
      note()
      if (connection.writes === undefined) commit(server, [[item, data]])
      else connection.writes.set(item, data)
      return { ...ran, wrote: connection.writes === undefined }
    }
    if (verb === 'FETCH') {
      note()
      return { rows: rowsOf(rest, server) ?? [connection.writes?.get(rest) ?? server.items.get(rest) ?? 'none'], digest: ran.digest }
    }
    return { fault: 'MALFORMED' }
  }

  async function answer (server, connection, id, text) {
    const occupiesSlot = /^(AFTER|FETCH|STORE|EXECUTE|COMMIT|STATUS)\b/.test(text)
    if (occupiesSlot) {
      server.busy += 1
      await pause(workMilliseconds)
      server.busy -= 1
    }
    if (!server.running || connection.socket.destroyed) return
    const failed = connection.failed && !['ROLLBACK', 'COMMIT'].includes(splitFirstWord(text)[0])
    const result = failed ? { fault: 'MALFORMED' } : runText(server, connection, id, connection.failed ? 'ROLLBACK' : text)
    connection.failed = connection.writes !== undefined && (connection.failed || result.fault !== undefined)
    const state = connection.writes === undefined ? 'I' : connection.failed ? 'E' : 'T'
    const { socket } = connection
    if (result.wrote && synchronousReplicas > 0) await awaitReplicas(server)
    if (!server.running) return
    if (result.fault !== undefined) socket.write(`FAULT ${result.fault} ${server.id}\r\n`, 'latin1')
    else {
      for (const row of result.rows) socket.write(`DATAROW ${row}\r\n`, 'latin1')
      socket.write(`COMPLETE ${result.digest}\r\n`, 'latin1')
    }
    socket.write(`READY ${state} ${writePosition(server)}\r\n`, 'latin1')
  }

  function serve (server, socket) {
    server.sockets.add(socket)
    const readLines = createLineReader()
    const connection = { socket, account: '', values: new Map(), prepared: new Map(), writes: undefined, failed: false, plain: false }
    let last = Promise.resolve()
    let started = false
    socket.on('error', () => {})
    socket.on('close', () => { server.sockets.delete(socket) })
    socket.on('data', chunk => {
      for (const line of readLines(chunk)) {
        const [word, rest] = splitFirstWord(line)
        if (word === 'TERMINATE') return socket.end()
        if (!started) {
          const [service, account, expected] = rest.split(' ')
          if (word !== 'STARTUP' || service !== name || (expected !== undefined && expected !== server.id)) return socket.end(`FAULT MISROUTED ${server.id}\r\n`)
          if (server.sockets.size > maximumConnections) return socket.end(`FAULT TOOMANY ${server.id}\r\n`)
          started = true
          connection.account = Buffer.from(account, 'latin1').toString('utf8')
          socket.write(`READY I ${writePosition(server)}\r\n`)
          continue
        }
        const [id, text] = splitFirstWord(rest)
        last = last.then(async () => { await answer(server, connection, id, text) })
      }
    })
  }

  async function listen (server) {
    server.running = true
    server.born = Date.now()
    server.sequence = 0
    server.listener = createServer({ noDelay: true }, socket => { serve(server, socket) })
    await new Promise((resolve, reject) => { server.listener.once('error', reject).listen(port, server.host, resolve) })
  }

  /** Ends a server as a crash does: its connections are reset and its address refuses. */
  async function crash (server) {
    server.running = false
    for (const socket of server.sockets) socket.resetAndDestroy()
    for (const wake of server.waiting.splice(0)) wake()
    await new Promise(resolve => { server.listener.close(resolve) })
  }

  /** Starts a crashed server again. A primary comes back with its log, as a replica if another one leads; a replica holds nothing. */
  async function restart (server) {
    const leads = servers.some(other => other !== server && other.role === 'primary')
    if (server.role === 'replica') Object.assign(server, { log: [], items: new Map(), term: 1 })
    else if (leads) server.role = 'replica'
    await listen(server)
  }

  const catchUp = setInterval(() => {
    const primary = servers.filter(({ role, running }) => role === 'primary' && running).sort((left, right) => right.term - left.term)[0]
    if (primary !== undefined) for (const replica of servers) receive(replica, primary, primary.log.length)
  }, CATCH_UP_MILLISECONDS)

  for (const [index, host] of hosts.entries()) {
    const server = { id: `i-${name}-${index + 1}`, service: name, host, port, zone: zones[index % zones.length], role: index === 0 ? 'primary' : 'replica', state: 'ready', term, log: [], items: new Map(), sockets: new Set(), waiting: [], busy: 0, running: false }
    servers.push(server)
    await listen(server)
  }
  return {
    name,
    servers,
    crash,
    restart,
    /** What the provider's order does: 200, or 409 where the server is not running. */
    promote: id => {
      const server = servers.find(candidate => candidate.id === id)
      if (server === undefined || !server.running) return 409
      if (server.role === 'primary' && server.term === term) return 200
      setTimeout(() => {
        if (!server.running || (server.role === 'primary' && server.term === term)) return
        term += 1
        server.role = 'primary'
        server.term = term
        onPromoted(server)
        for (const other of servers) {
          if (other === server || other.role !== 'primary') continue
          setTimeout(() => { if (other.term < server.term) other.role = 'replica' }, 1_000)
        }
      }, 600)
      return 200
    },
    close: async () => {
      clearInterval(catchUp)
      for (const server of servers) if (server.running) await crash(server)
    }
  }
}
