/**
 * Handshake of a new caller's connection: TLS, the start-up message and the key.
 * The gateway library (pg-gateway) parses only the start-up and password
 * messages, and only this module uses it.
 */

import { TLSSocket, createSecureContext } from 'node:tls'
import { fromDuplexStream } from 'pg-gateway/node'
import { FRAME_HEADER_BYTES, FRONTEND, STARTUP_CODE, readStartupParameters } from '@cyclamenusher/protocol'
import { RefusalError, buildRefusalResponse } from '../request/refusal.js'
import type { Socket } from 'node:net'
import type { SecureContext } from 'node:tls'

/** Maximum length of a start-up or password message, in bytes. */
const MAXIMUM_STARTUP_BYTES = 10_000

export interface CallerTls {
  certificate: string
  key: string
}

/** The contents of a caller's start-up message. */
export interface CallerStartup {
  user: string
  database: string
  parameters: Record<string, string>
}

export interface HandshakeOptions<Accepted> {
  /** Time in which the handshake must complete, in milliseconds. */
  milliseconds: number
  /** Whether this user must send a key. False on an open route. */
  needsKey: (startup: CallerStartup) => boolean
  /**
   * Accepts or refuses the caller; called at most once.
   *
   * @throws RefusalError
   */
  accept: (startup: CallerStartup, key: string | undefined) => Accepted
  /** Called when the handshake fails. */
  refused: (error: RefusalError) => void
  /** Called when the handshake takes too long. */
  onTimeout: () => void
  /** Cancels the running request of another connection. */
  cancelRequest: (processNumber: number, secret: number) => void
}

export interface AcceptedCaller<Accepted> {
  socket: Socket
  startup: CallerStartup
  accepted: Accepted
  /** Bytes received after the last message of the handshake. */
  remaining: Buffer
}

export function createCallerTlsContext (tls: CallerTls | undefined): SecureContext | undefined {
  return tls === undefined ? undefined : createSecureContext({ cert: tls.certificate, key: tls.key, minVersion: 'TLSv1.2' })
}

interface ByteReader {
  /**
   * Resolves with exactly `count` bytes.
   *
   * @throws RefusalError when the connection closes first
   */
  read: (count: number) => Promise<Buffer>
  /** Stops reading and returns the bytes that were not consumed. */
  finish: () => Buffer
}

/** Creates a reader of exact byte counts. It pauses the socket when too much is buffered, so the rest stays in the kernel. */
function createByteReader (socket: Socket, initial: Buffer): ByteReader {
  let buffered = initial
  let wake: (() => void) | undefined
  let ended = false
  const handleData = (chunk: Buffer): void => {
    buffered = Buffer.concat([buffered, chunk])
    if (buffered.length > 2 * MAXIMUM_STARTUP_BYTES) socket.pause()
    wake?.()
  }
  const handleClose = (): void => {
    ended = true
    wake?.()
  }
  socket.on('data', handleData)
  socket.on('close', handleClose)
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
      socket.off('data', handleData)
      socket.off('close', handleClose)
      socket.pause()
      return buffered
    }
  }
}

async function readStartupPacket (reader: ByteReader): Promise<Buffer> {
  const lengthBytes = await reader.read(4)
  const length = lengthBytes.readUInt32BE(0)
  if (length < 8 || length > MAXIMUM_STARTUP_BYTES) {
    throw new RefusalError('protocol broken', `the start-up message announces ${length} bytes, which no start-up message has`)
  }
  return Buffer.concat([lengthBytes, await reader.read(length - 4)])
}

async function readPasswordMessage (reader: ByteReader): Promise<Buffer> {
  const header = await reader.read(FRAME_HEADER_BYTES)
  const length = header.readUInt32BE(1)
  if (header[0] !== FRONTEND.password || length < 4 || length > MAXIMUM_STARTUP_BYTES) {
    throw new RefusalError('protocol broken', 'a password message was expected')
  }
  return Buffer.concat([header, await reader.read(length - 4)])
}

async function upgradeToTls (socket: Socket, remaining: Buffer, context: SecureContext): Promise<Socket> {
  // Clear-text bytes after a TLS request may have been injected by a third party.
  if (remaining.length > 0) throw new RefusalError('protocol broken', 'bytes came before TLS was agreed')
  socket.write('S')
  const tlsSocket = new TLSSocket(socket, { isServer: true, secureContext: context })
  tlsSocket.on('error', () => { tlsSocket.destroy() })
  await new Promise<void>((resolve, reject) => {
    tlsSocket.once('secure', resolve)
    tlsSocket.once('close', () => { reject(new RefusalError('protocol broken', 'the TLS handshake failed')) })
  })
  return tlsSocket
}

/** Runs the gateway over the start-up and password messages. Resolves with the key, or with undefined when none is needed. */
async function receiveKey (socket: Socket, startupPacket: Buffer, reader: ByteReader, needsKey: boolean): Promise<string | undefined> {
  let inputController: ReadableStreamDefaultController<Uint8Array> | undefined
  const readable = new ReadableStream<Uint8Array>({ start: controller => { inputController = controller } })
  // Of the gateway's output only the password request is sent: `accept` checks the key later.
  let forwardOutput = needsKey
  const writable = new WritableStream<Uint8Array>({ write: bytes => { if (forwardOutput && !socket.destroyed) socket.write(bytes) } })
  let key: string | undefined
  const authenticated = new Promise<void>((resolve, reject) => {
    fromDuplexStream({ readable, writable }, {
      auth: needsKey
        ? {
            method: 'password',
            getClearTextPassword: () => '',
            validateCredentials: ({ password }) => {
              forwardOutput = false
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
  // The gateway ignores a view's byte offset and reads its ArrayBuffer from the start, so it is given copies.
  inputController?.enqueue(new Uint8Array(startupPacket))
  if (needsKey) inputController?.enqueue(new Uint8Array(await readPasswordMessage(reader)))
  await authenticated
  return key
}

/**
 * Performs the handshake of one connection. Resolves with undefined when it was
 * a cancel request, was refused or closed early.
 */
export async function performHandshake<Accepted> (plainSocket: Socket, context: SecureContext | undefined, options: HandshakeOptions<Accepted>): Promise<AcceptedCaller<Accepted> | undefined> {
  let socket = plainSocket
  const timer = setTimeout(() => {
    options.onTimeout()
    socket.destroy()
  }, options.milliseconds)
  let reader = createByteReader(socket, Buffer.alloc(0))
  try {
    let packet = await readStartupPacket(reader)
    for (let code = packet.readUInt32BE(4); code === STARTUP_CODE.tls || code === STARTUP_CODE.gss; code = packet.readUInt32BE(4)) {
      if (code === STARTUP_CODE.gss || context === undefined || socket !== plainSocket) {
        socket.write('N')
      } else {
        socket = await upgradeToTls(plainSocket, reader.finish(), context)
        reader = createByteReader(socket, Buffer.alloc(0))
      }
      packet = await readStartupPacket(reader)
    }
    if (packet.readUInt32BE(4) === STARTUP_CODE.cancel) {
      if (packet.length === 16) options.cancelRequest(packet.readUInt32BE(8), packet.readUInt32BE(12))
      socket.end()
      return undefined
    }
    if (packet.readUInt32BE(4) !== STARTUP_CODE.version3) throw new RefusalError('protocol broken', 'only version 3.0 of the protocol is spoken here')
    if (context !== undefined && socket === plainSocket) throw new RefusalError('protocol broken', 'this address wants TLS: connect with sslmode=require')
    const parameters = readParameters(packet)
    const startup = { user: parameters.user ?? '', database: parameters.database ?? parameters.user ?? '', parameters }
    if (startup.user === '') throw new RefusalError('account unknown', 'the start-up message names no user')
    const key = await receiveKey(socket, packet, reader, options.needsKey(startup))
    const accepted = options.accept(startup, key)
    return { socket, startup, accepted, remaining: reader.finish() }
  } catch (error) {
    reader.finish()
    const refusal = error instanceof RefusalError ? error : new RefusalError('protocol broken', 'the start-up could not be understood')
    options.refused(refusal)
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
