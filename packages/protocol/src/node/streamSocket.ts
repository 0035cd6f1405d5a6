/**
 * Message streams over a TCP or TLS connection of their own, at the address of the calls.
 * The side that opens one sends a line that no HTTP/2 connection begins with, and a message
 * with the stream's name and the shared secret; the other side answers with a status line.
 *
 * Load pattern: after a loss of power, and when the leader of control changes, an instance
 * gets a connection from each other one within a moment. An HTTP/2 connection and its
 * first stream take twice the processor of a plain one.
 */

import { LENGTH_BYTES, createMessageStream, frameMessage } from './messageStream.js'
import type { Socket } from 'node:net'
import type { MessageStream, MessageStreamHandlers } from './messageStream.js'

/** Protocol of streams over TLS, as it is negotiated there. */
export const STREAM_PROTOCOL = 'cyclamenusher-stream'
const REQUEST_LINE = Buffer.from('CYCLAMENUSHER STREAM\r\n')
const STATUS_LINE_BYTES = 'CYCLAMENUSHER 200\r\n'.length
const HELLO_OFFSET = REQUEST_LINE.length + LENGTH_BYTES
/** Most bytes up to the end of the first message: a name and a secret. */
const MAXIMUM_HELLO_BYTES = 16 * 1024
/** Time within which the first message must have come, in milliseconds. */
const HELLO_TIMEOUT_MILLISECONDS = 5_000

const STATUSES = { accepted: 200, 'secret wrong': 401, 'stream unknown': 404 } as const
type StreamOutcome = keyof typeof STATUSES

/** The other side speaks another protocol, or refuses the stream. */
class StreamProtocolError extends Error {
  override name = 'StreamProtocolError'
}

interface StreamHello {
  stream: string
  secret: string
}

/** @throws StreamProtocolError */
function decodeHello (body: Buffer): StreamHello {
  const hello = JSON.parse(body.toString('utf8')) as Partial<StreamHello> | null
  if (typeof hello?.stream !== 'string' || typeof hello.secret !== 'string') throw new StreamProtocolError('the first message of a stream names no stream')
  return { stream: hello.stream, secret: hello.secret }
}

/** Returns a function that takes the first bytes from the other side, and returns what follows the status line. It throws a StreamProtocolError. */
function createStatusReader (onUnknown: () => void): (chunk: Buffer) => Buffer {
  let line = Buffer.alloc(0)
  return chunk => {
    if (line.length === STATUS_LINE_BYTES) return chunk
    const missing = STATUS_LINE_BYTES - line.length
    line = Buffer.concat([line, chunk.subarray(0, missing)])
    if (line.length < STATUS_LINE_BYTES) return Buffer.alloc(0)
    const [, status] = /^CYCLAMENUSHER (\d{3})\r\n$/.exec(line.toString('latin1')) ?? []
    if (status === undefined) {
      onUnknown()
      throw new StreamProtocolError('the other side does not know this kind of stream')
    }
    if (Number(status) !== STATUSES.accepted) throw new StreamProtocolError(`the stream was refused with status ${status}`)
    return chunk.subarray(missing)
  }
}

/** Opens a message stream on a connection that has just been established. `onUnknown` is called if the other side answers with another protocol. */
export function openSocketStream (socket: Socket, hello: StreamHello, attach: (messages: MessageStream) => MessageStreamHandlers, onUnknown: () => void): MessageStream {
  socket.setNoDelay(true)
  socket.write(Buffer.concat([REQUEST_LINE, frameMessage(Buffer.from(JSON.stringify(hello), 'utf8'))]))
  return createMessageStream(socket, attach, createStatusReader(onUnknown))
}

export interface SocketStreamOptions {
  isSecret: (given: string) => boolean
  onAuthenticated: () => void
  findStream: (name: string) => ((messages: MessageStream) => MessageStreamHandlers) | undefined
}

function writeStatus (socket: Socket, outcome: StreamOutcome): void {
  socket.write(`CYCLAMENUSHER ${STATUSES[outcome]}\r\n`)
}

/** Reads the first message on an accepted connection, and hands the connection to its stream. */
export function acceptSocketStream (socket: Socket, { isSecret, onAuthenticated, findStream }: SocketStreamOptions): void {
  const timer = setTimeout(() => { socket.destroy() }, HELLO_TIMEOUT_MILLISECONDS)
  let received = Buffer.alloc(0)

  function refuse (outcome: StreamOutcome): void {
    writeStatus(socket, outcome)
    socket.end()
  }

  function receive (chunk: Buffer): void {
    received = Buffer.concat([received, chunk])
    if (received.length < HELLO_OFFSET) return
    const end = HELLO_OFFSET + received.readUInt32BE(REQUEST_LINE.length)
    if (end > MAXIMUM_HELLO_BYTES) {
      socket.destroy()
      return
    }
    if (received.length < end) return
    socket.off('data', receive)
    clearTimeout(timer)
    try {
      start(decodeHello(received.subarray(HELLO_OFFSET, end)), received.subarray(end))
    } catch {
      socket.destroy()
    }
  }

  function start ({ secret, stream }: StreamHello, rest: Buffer): void {
    if (!isSecret(secret)) return refuse('secret wrong')
    onAuthenticated()
    const accept = findStream(stream)
    if (accept === undefined) return refuse('stream unknown')
    writeStatus(socket, 'accepted')
    // The other side sends messages without waiting for the status.
    if (rest.length > 0) socket.unshift(rest)
    createMessageStream(socket, accept)
  }

  socket.setNoDelay(true)
  socket.on('error', () => { socket.destroy() })
  socket.on('close', () => { clearTimeout(timer) })
  socket.on('data', receive)
}

/** Reads the beginning of a connection, and hands it with all its bytes to the handler of what it begins with: a message stream, or anything else. */
export function distinguishStreams (socket: Socket, handleStream: (socket: Socket) => void, handleOther: (socket: Socket) => void): void {
  let received = Buffer.alloc(0)

  function handOver (handle: (socket: Socket) => void): void {
    socket.off('data', receive)
    socket.off('error', ignore)
    socket.pause()
    socket.unshift(received)
    handle(socket)
  }

  function receive (chunk: Buffer): void {
    received = Buffer.concat([received, chunk])
    const compared = Math.min(received.length, REQUEST_LINE.length)
    if (received.compare(REQUEST_LINE, 0, compared, 0, compared) !== 0) return handOver(handleOther)
    if (received.length < REQUEST_LINE.length) return
    handOver(accepted => {
      handleStream(accepted)
      accepted.resume()
    })
  }

  function ignore (): void {}

  socket.on('error', ignore)
  socket.on('data', receive)
}
