/** One connection to a stand-in backend server: the PostgreSQL wire protocol. */

import {
  BACKEND, FRONTEND, STARTUP_CODE, buildBackendKeyData, buildCommandComplete, buildDataRow, buildErrorResponse, buildFrame,
  buildParameterStatus, buildReadyForQuery, buildRowDescription, createFrameSplitter, readCString, readStartupParameters
} from '@cyclamenusher/protocol'
import { recordReceived } from './registry.js'
import { StatementError, bindParameters, runStatement } from './statements.js'
import type { Socket } from 'node:net'
import type { Frame } from '@cyclamenusher/protocol'
import type { ConnectionRegistry } from './registry.js'
import type { BackendServer } from './server.js'
import type { SessionState, StatementResult } from './statements.js'

/** Largest accepted message, in bytes. */
const MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
/** Rows per write. Between two writes, sending pauses until a slow reader catches up. */
const ROWS_PER_BATCH = 200

interface PreparedStatement { text: string }
interface Portal {
  text: string
  /** Remaining rows of a portal that has been read in part. */
  rows?: Iterator<Array<string | null>>
}

/** Reads the first message, answers TLS and cancel requests, then serves the connection. */
export function serveConnection (socket: Socket, server: BackendServer, registry: ConnectionRegistry): void {
  socket.setNoDelay(true)
  socket.on('error', () => {})
  let buffered: Buffer = Buffer.alloc(0)
  const onData = (chunk: Buffer): void => {
    buffered = Buffer.concat([buffered, chunk])
    if (buffered.length < 8) return
    const length = buffered.readUInt32BE(0)
    if (length > 10_000) {
      socket.destroy()
      return
    }
    if (buffered.length < length) return
    const message = buffered.subarray(0, length)
    const remaining = buffered.subarray(length)
    const code = message.readUInt32BE(4)
    if (code === STARTUP_CODE.tls || code === STARTUP_CODE.gss) {
      buffered = remaining
      socket.write('N')
      return
    }
    socket.off('data', onData)
    if (code === STARTUP_CODE.cancel) {
      const target = registry.cancels.get(message.readUInt32BE(8))
      if (target !== undefined && target.secret === message.readUInt32BE(12)) target.cancel()
      socket.end()
      return
    }
    if (remaining.length > 0) socket.unshift(remaining)
    recordReceived(registry, message)
    startSession(socket, server, registry, readStartupParameters(message))
  }
  socket.on('data', onData)
}

function startSession (socket: Socket, server: BackendServer, registry: ConnectionRegistry, parameters: Record<string, string>): void {
  if (parameters.replication === 'true') return server.serveReplica(socket)
  const user = parameters.user ?? ''
  const isReserved = registry.reservedUsers.has(user)
  if (!isReserved && registry.open >= server.options.connectionLimit) {
    socket.end(buildErrorResponse({ severity: 'FATAL', code: '53300', message: 'sorry, too many clients already' }))
    return
  }
  if (!isReserved) {
    registry.open += 1
    registry.opened += 1
    socket.on('close', () => { registry.open -= 1 })
  }
  const openMilliseconds = isReserved ? 0 : server.options.openMilliseconds
  setTimeout(() => { runSession(socket, server, registry, user, parameters) }, openMilliseconds)
}

function runSession (socket: Socket, server: BackendServer, registry: ConnectionRegistry, user: string, parameters: Record<string, string>): void {
  const processNumber = registry.nextProcessNumber
  registry.nextProcessNumber += 1
  const secret = Math.floor(Math.random() * 0xffffffff)
  const session: SessionState = { user, pending: [], transaction: 'idle', busy: false, settings: new Map(), localSettings: new Map(), temporaryTables: new Map() }
  const prepared = new Map<string, PreparedStatement>()
  const portals = new Map<string, Portal>()
  let authenticated = false
  let cancelled = false
  let interruptPause: (() => void) | undefined
  let skippingToSync = false
  const queue: Frame[] = []
  let processingQueue = false

  if (!registry.reservedUsers.has(user)) registry.sessions.add(session)
  registry.cancels.set(processNumber, {
    secret,
    cancel: () => {
      cancelled = true
      interruptPause?.()
    }
  })
  server.onDemoted(() => {
    // A demoted primary closes connections whose open transaction it can no longer commit.
    if (session.transaction !== 'idle') socket.destroy()
  })
  socket.on('close', () => {
    registry.cancels.delete(processNumber)
    registry.sessions.delete(session)
    interruptPause?.()
  })

  async function pause (milliseconds: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, milliseconds)
      interruptPause = () => {
        clearTimeout(timer)
        resolve()
      }
    })
    interruptPause = undefined
    if (cancelled) {
      cancelled = false
      throw new StatementError('57014', 'canceling statement due to user request')
    }
  }

  async function sendRows (result: StatementResult): Promise<void> {
    let batch: Buffer[] = []
    for (const row of result.rows ?? []) {
      batch.push(buildDataRow(row))
      if (batch.length < ROWS_PER_BATCH) continue
      const canWriteMore = socket.write(Buffer.concat(batch))
      batch = []
      if (!canWriteMore && !socket.destroyed) {
        // A corked socket sends nothing, so it would never emit `drain`.
        socket.uncork()
        await new Promise<void>(resolve => {
          socket.once('drain', resolve)
          socket.once('close', () => { resolve() })
        })
        socket.cork()
      }
      if (socket.destroyed) return
    }
    if (batch.length > 0) socket.write(Buffer.concat(batch))
  }

  function commitPending (): void {
    const operations = session.pending
    session.pending = []
    session.transaction = 'idle'
    if (operations.length === 0) return
    const commitPosition = server.commit(operations)
    if (commitPosition === undefined) throw new StatementError('25006', 'cannot execute the transaction: this server is not the primary')
    socket.write(buildParameterStatus('cyclamenusher.position', `${commitPosition.term}/${commitPosition.position}`))
  }

  const transactionControl: Array<[RegExp, () => string]> = [
    [/^(begin|start transaction)\b/i, () => {
      if (session.transaction === 'idle') session.transaction = 'transaction'
      return 'BEGIN'
    }],
    [/^(commit|end)\b/i, () => {
      if (session.transaction === 'failed') {
        session.pending = []
        session.transaction = 'idle'
        return 'ROLLBACK'
      }
      commitPending()
      return 'COMMIT'
    }],
    [/^(rollback|abort)\b/i, () => {
      session.pending = []
      session.transaction = 'idle'
      return 'ROLLBACK'
    }]
  ]

  async function executeStatement (text: string, describe: boolean): Promise<void> {
    registry.statements += 1
    for (const [pattern, handler] of transactionControl) {
      if (!pattern.test(text.trim())) continue
      socket.write(buildCommandComplete(handler()))
      return
    }
    if (session.transaction === 'failed') {
      throw new StatementError('25P02', 'current transaction is aborted, commands ignored until end of transaction block')
    }
    const result = await runStatement(text, session, server)
    if (result.sleepMilliseconds !== undefined) await pause(result.sleepMilliseconds)
    if (result.operations !== undefined && server.status().role !== 'primary') {
      throw new StatementError('25006', 'cannot execute the statement in a read-only transaction: this server is not the primary')
    }
    if (result.operations !== undefined) session.pending.push(...result.operations)
    if (describe && result.columns !== undefined) socket.write(buildRowDescription(result.columns))
    await sendRows(result)
    if (session.transaction === 'idle') commitPending()
    socket.write(buildCommandComplete(result.tag))
  }

  /** Sends at most `maximumRows` rows of a read; the portal keeps the remaining rows. */
  async function sendPortalRows (portal: Portal, maximumRows: number): Promise<void> {
    if (portal.rows === undefined) {
      const result = await runStatement(portal.text, session, server)
      if (result.operations !== undefined) return executeStatement(portal.text, false)
      portal.rows = (result.rows ?? [])[Symbol.iterator]()
    }
    for (let count = 0; count < maximumRows; count += 1) {
      const { done, value } = portal.rows.next()
      if (done === true) {
        socket.write(buildCommandComplete(`SELECT ${count}`))
        return
      }
      socket.write(buildDataRow(value))
    }
    socket.write(buildFrame(BACKEND.portalSuspended))
  }

  function sendError (error: unknown): void {
    const isStatementError = error instanceof StatementError
    session.pending = session.transaction === 'idle' ? [] : session.pending
    if (session.transaction === 'transaction') session.transaction = 'failed'
    socket.write(buildErrorResponse({ severity: 'ERROR', code: isStatementError ? error.code : 'XX000', message: (error as Error).message }))
  }

  function sendReadyForQuery (): void {
    if (session.transaction === 'idle') session.localSettings.clear()
    socket.write(buildReadyForQuery(session.transaction))
  }

  async function buildDescription (text: string): Promise<Buffer> {
    if (!/^\s*(\/\*.*?\*\/\s*)*(select|show)|\breturning\b/i.test(text)) return buildFrame(BACKEND.noData)
    const match = /^\s*(?:\/\*.*?\*\/\s*)*select (id, *value|value|count)/i.exec(text)
    const columns = match === null ? ['value'] : match[1].split(/, */)
    return buildRowDescription(columns)
  }

  const handlers: Record<number, (frame: Frame) => void | Promise<void>> = {
    [FRONTEND.query]: async frame => {
      const [text] = readCString(frame.bytes, 5)
      const statements = text.split(';').map(part => part.trim()).filter(part => part !== '')
      if (statements.length === 0) socket.write(buildFrame(BACKEND.emptyQueryResponse))
      try {
        for (const statement of statements) await executeStatement(statement, true)
      } catch (error) {
        sendError(error)
      }
      sendReadyForQuery()
    },
    [FRONTEND.parse]: frame => {
      const [name, next] = readCString(frame.bytes, 5)
      const [text] = readCString(frame.bytes, next)
      if (name !== '' && prepared.has(name)) throw new StatementError('42P05', `prepared statement "${name}" already exists`)
      prepared.set(name, { text })
      socket.write(buildFrame(BACKEND.parseComplete))
    },
    [FRONTEND.bind]: frame => {
      const [portal, afterPortal] = readCString(frame.bytes, 5)
      const [name, afterName] = readCString(frame.bytes, afterPortal)
      const statement = prepared.get(name)
      if (statement === undefined) throw new StatementError('26000', `prepared statement "${name}" does not exist`)
      let offset = afterName + 2 + 2 * frame.bytes.readUInt16BE(afterName)
      const count = frame.bytes.readUInt16BE(offset)
      offset += 2
      const values: Array<string | null> = []
      for (let index = 0; index < count; index += 1) {
        const length = frame.bytes.readInt32BE(offset)
        offset += 4
        values.push(length < 0 ? null : frame.bytes.toString('utf8', offset, offset + length))
        offset += Math.max(0, length)
      }
      portals.set(portal, { text: bindParameters(statement.text, values) })
      socket.write(buildFrame(BACKEND.bindComplete))
    },
    [FRONTEND.describe]: async frame => {
      const [name] = readCString(frame.bytes, 6)
      const isPortal = frame.bytes[5] === 0x50
      const text = isPortal ? portals.get(name)?.text : prepared.get(name)?.text
      if (text === undefined) throw new StatementError(isPortal ? '34000' : '26000', `"${name}" does not exist`)
      if (!isPortal) {
        const count = new Set(text.match(/\$\d+/g) ?? []).size
        const payload = Buffer.alloc(2 + 4 * count)
        payload.writeUInt16BE(count, 0)
        for (let index = 0; index < count; index += 1) payload.writeUInt32BE(25, 2 + 4 * index)
        socket.write(buildFrame(BACKEND.parameterDescription, payload))
      }
      socket.write(await buildDescription(text))
    },
    [FRONTEND.execute]: async frame => {
      const [name] = readCString(frame.bytes, 5)
      const portal = portals.get(name)
      if (portal === undefined) throw new StatementError('34000', `portal "${name}" does not exist`)
      if (portal.text.trim() === '') {
        socket.write(buildFrame(BACKEND.emptyQueryResponse))
        return
      }
      const maximumRows = frame.bytes.readInt32BE(frame.bytes.indexOf(0, 5) + 1)
      if (maximumRows > 0) await sendPortalRows(portal, maximumRows)
      else await executeStatement(portal.text, false)
    },
    [FRONTEND.close]: frame => {
      const [name] = readCString(frame.bytes, 6)
      if (frame.bytes[5] === 0x53) prepared.delete(name)
      else portals.delete(name)
      socket.write(buildFrame(BACKEND.closeComplete))
    },
    [FRONTEND.sync]: () => {
      if (session.transaction === 'idle') portals.clear()
      sendReadyForQuery()
    },
    [FRONTEND.flush]: () => {},
    [FRONTEND.terminate]: () => { socket.end() }
  }

  async function handleFrame (frame: Frame): Promise<void> {
    if (!authenticated) return authenticate(frame)
    if (skippingToSync && frame.type !== FRONTEND.sync && frame.type !== FRONTEND.terminate) return
    skippingToSync = false
    // A frozen server does not react to cancel requests either.
    while (server.faults.frozen && !registry.reservedUsers.has(user) && !socket.destroyed) await new Promise(resolve => setTimeout(resolve, 20))
    const handler = handlers[frame.type]
    if (handler === undefined) {
      sendError(new StatementError('08P01', `message type ${frame.type} is not supported`))
      return
    }
    session.busy = true
    try {
      if (server.faults.answerMilliseconds > 0) await pause(server.faults.answerMilliseconds)
      await handler(frame)
    } catch (error) {
      // In the extended protocol, messages after an error are skipped up to Sync.
      sendError(error)
      skippingToSync = true
    } finally {
      session.busy = false
    }
  }

  function authenticate (frame: Frame): void {
    const [password] = readCString(frame.bytes, 5)
    if (frame.type !== FRONTEND.password || registry.users.get(user) !== password) {
      socket.end(buildErrorResponse({ severity: 'FATAL', code: '28P01', message: `password authentication failed for user "${user}"` }))
      return
    }
    authenticated = true
    socket.write(Buffer.concat([
      buildFrame(BACKEND.authentication, Uint8Array.of(0, 0, 0, 0)),
      buildParameterStatus('server_version', '15.0'),
      buildParameterStatus('client_encoding', 'UTF8'),
      buildParameterStatus('standard_conforming_strings', 'on'),
      buildParameterStatus('cyclamenusher.server', `${server.options.group}/${server.options.member}/${server.incarnation}`),
      buildBackendKeyData(processNumber, secret),
      buildReadyForQuery('idle')
    ]))
  }

  async function processQueue (): Promise<void> {
    if (processingQueue) return
    processingQueue = true
    for (let frame = queue.shift(); frame !== undefined && !socket.destroyed; frame = queue.shift()) {
      socket.cork()
      try {
        await handleFrame(frame)
      } finally {
        socket.uncork()
      }
    }
    processingQueue = false
  }

  const splitter = createFrameSplitter(MAXIMUM_MESSAGE_BYTES, frame => { queue.push(frame) })
  socket.on('data', (chunk: Buffer) => {
    if (!registry.reservedUsers.has(user)) recordReceived(registry, chunk)
    try {
      splitter.push(chunk)
    } catch {
      socket.destroy()
      return
    }
    void processQueue()
  })
  recordReceived(registry, Buffer.from(JSON.stringify(parameters)))
  socket.write(buildFrame(BACKEND.authentication, Uint8Array.of(0, 0, 0, 3)))
}
