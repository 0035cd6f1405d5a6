/**
 * Takes a new caller's connection through TLS, start-up and its key. The
 * gateway library reads the start-up and password messages; it sees no others,
 * and this is the only module that knows it.
 */

import { TLSSocket, createSecureContext } from 'node:tls'
import { fromDuplexStream } from 'pg-gateway/node'
import { FRAME_HEADER_BYTES, FRONTEND, STARTUP_CODE, readStartupParameters } from '@cyclamenusher/protocol'
import { RefusalError, buildRefusalResponse } from '../request/refusal.js'
import type { Socket } from 'node:net'
import type { SecureContext } from 'node:tls'

/** Longest start-up or password message, in bytes. */
const MAXIMUM_STARTUP_BYTES = 10_000

export interface CallerTls {
  certificate: string
  key: string
}

/** What a caller said of itself before its first request. */
export interface CallerStartup {
  user: string
  database: string
  parameters: Record<string, string>
}

export interface HandshakeHandlers<Accepted> {
  /** Time that a caller has until it is authenticated, in milliseconds. */
  milliseconds: number
  /** Whether this user is asked for a key; false: an open route. */
  needsKey: (startup: CallerStartup) => boolean
  /** Accepts or refuses; called once. @throws RefusalError */
  accept: (startup: CallerStartup, key: string | undefined) => Accepted
  refused: (error: RefusalError) => void
  /** Another connection's request is to be cancelled. */
  cancel: (processNumber: number, secret: number) => void
}

export interface AcceptedCaller<Accepted> {
  socket: Socket
  startup: CallerStartup
  accepted: Accepted
  /** Bytes that arrived behind the last message of the handshake. */
  rest: Buffer
}

export function createCallerContext (tls: CallerTls | undefined): SecureContext | undefined {
  return tls === undefined ? undefined : createSecureContext({ cert: tls.certificate, key: tls.key, minVersion: 'TLSv1.2' })
}

interface ByteSource {
  /** Exactly `count` bytes. */
  read: (count: number) => Promise<Buffer>
  /** Stops reading and gives back what is left over. */
  finish: () => Buffer
}

/** Reads exact counts of bytes; the kernel's buffer bounds what waits. */
function createByteSource (socket: Socket, head: Buffer): ByteSource {
  let buffered = head
  let wake: (() => void) | undefined
  let ended = false
  const onData = (chunk: Buffer): void => {
    buffered = Buffer.concat([buffered, chunk])
    if (buffered.length > 2 * MAXIMUM_STARTUP_BYTES) socket.pause()
    wake?.()
  }
  const onClose = (): void => {
    ended = true
    wake?.()
  }
  socket.on('data', onData)
  socket.on('close', onClose)
  return {
    read: async count => {
      while (buffered.length < count) {
        if (ended) throw new RefusalError('protocol broken', 'the connection closed before the start-up was over')
        await new Promise<void>(resolve => { wake = resolve })
      }
      const bytes = buffered.subarray(0, count)
      buffered = buffered.subarray(count)
      return bytes
    },
    finish: () => {
      socket.off('data', onData)
      socket.off('close', onClose)
      socket.pause()
      return buffered
    }
  }
}

async function readFirstMessage (source: ByteSource): Promise<Buffer> {
  const head = await source.read(4)
  const length = head.readUInt32BE(0)
  if (length < 8 || length > MAXIMUM_STARTUP_BYTES) {
    throw new RefusalError('protocol broken', `the start-up message announces ${length} bytes, which no start-up message has`)
  }
  return Buffer.concat([head, await source.read(length - 4)])
}

async function readPasswordMessage (source: ByteSource): Promise<Buffer> {
  const head = await source.read(FRAME_HEADER_BYTES)
  const length = head.readUInt32BE(1)
  if (head[0] !== FRONTEND.password || length < 4 || length > MAXIMUM_STARTUP_BYTES) {
    throw new RefusalError('protocol broken', 'a password message was expected')
  }
  return Buffer.concat([head, await source.read(length - 4)])
}

async function secure (socket: Socket, rest: Buffer, context: SecureContext): Promise<Socket> {
  // Bytes in clear text behind a TLS request could be somebody else's.
  if (rest.length > 0) throw new RefusalError('protocol broken', 'bytes came before TLS was agreed')
  socket.write('S')
  const secured = new TLSSocket(socket, { isServer: true, secureContext: context })
  secured.on('error', () => { secured.destroy() })
  await new Promise<void>((resolve, reject) => {
    secured.once('secure', resolve)
    secured.once('close', () => { reject(new RefusalError('protocol broken', 'the TLS handshake failed')) })
  })
  return secured
}

/** Runs the gateway over the two messages of the handshake; resolves with the key. */
async function authenticate (socket: Socket, startupMessage: Buffer, source: ByteSource, needsKey: boolean): Promise<string | undefined> {
  let feed: ReadableStreamDefaultController<Uint8Array> | undefined
  const readable = new ReadableStream<Uint8Array>({ start: controller => { feed = controller } })
  // Only the request for a password goes out: whether the key is good is decided later.
  let asking = needsKey
  const writable = new WritableStream<Uint8Array>({ write: bytes => { if (asking && !socket.destroyed) socket.write(bytes) } })
  let key: string | undefined
  const authenticated = new Promise<void>((resolve, reject) => {
    fromDuplexStream({ readable, writable }, {
      auth: needsKey
        ? {
            method: 'password',
            getClearTextPassword: () => '',
            validateCredentials: ({ password }) => {
              asking = false
              key = password
              return true
            }
          }
        : { method: 'trust' },
      onAuthenticated: () => { resolve() }
    }).then(gateway => {
      void authenticated.then(async () => await gateway.detach()).catch(() => {})
    }, reject)
  })
  // The gateway reads from the start of the memory below a view, so it gets copies that start there.
  feed?.enqueue(new Uint8Array(startupMessage))
  if (needsKey) feed?.enqueue(new Uint8Array(await readPasswordMessage(source)))
  await authenticated
  return key
}

/** Takes one connection through its handshake. Undefined: it was a cancel request, or is gone. */
export async function shakeHands<Accepted> (plain: Socket, context: SecureContext | undefined, handlers: HandshakeHandlers<Accepted>): Promise<AcceptedCaller<Accepted> | undefined> {
  let socket = plain
  const timer = setTimeout(() => { socket.destroy() }, handlers.milliseconds)
  let source = createByteSource(socket, Buffer.alloc(0))
  try {
    let message = await readFirstMessage(source)
    for (let code = message.readUInt32BE(4); code === STARTUP_CODE.tls || code === STARTUP_CODE.gss; code = message.readUInt32BE(4)) {
      if (code === STARTUP_CODE.gss || context === undefined || socket !== plain) {
        socket.write('N')
      } else {
        socket = await secure(plain, source.finish(), context)
        source = createByteSource(socket, Buffer.alloc(0))
      }
      message = await readFirstMessage(source)
    }
    if (message.readUInt32BE(4) === STARTUP_CODE.cancel) {
      if (message.length === 16) handlers.cancel(message.readUInt32BE(8), message.readUInt32BE(12))
      socket.end()
      return undefined
    }
    if (message.readUInt32BE(4) !== STARTUP_CODE.version3) throw new RefusalError('protocol broken', 'only version 3.0 of the protocol is spoken here')
    if (context !== undefined && socket === plain) throw new RefusalError('protocol broken', 'this address wants TLS: connect with sslmode=require')
    const parameters = readParameters(message)
    const startup = { user: parameters.user ?? '', database: parameters.database ?? parameters.user ?? '', parameters }
    if (startup.user === '') throw new RefusalError('account unknown', 'the start-up message names no user')
    const key = await authenticate(socket, message, source, handlers.needsKey(startup))
    const accepted = handlers.accept(startup, key)
    return { socket, startup, accepted, rest: source.finish() }
  } catch (error) {
    source.finish()
    const refusal = error instanceof RefusalError ? error : new RefusalError('protocol broken', 'the start-up could not be understood')
    handlers.refused(refusal)
    if (!socket.destroyed) {
      socket.resume()
      socket.end(buildRefusalResponse(refusal, 'FATAL'))
    }
    return undefined
  } finally {
    clearTimeout(timer)
  }
}

function readParameters (message: Buffer): Record<string, string> {
  try {
    return readStartupParameters(message)
  } catch {
    throw new RefusalError('protocol broken', 'the start-up message is cut short')
  }
}
