/**
 * Long-lived streams of messages between two processes, each on a connection of its own
 * or on one HTTP/2 stream. A message is preceded by its length as four bytes, most
 * significant first. A frame that can't be read, or a handler that throws, ends the stream
 * and nothing else.
 */

import { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'
import { createByteCollector } from './byteCollector.js'
import type { Duplex } from 'node:stream'

/** Largest message of a stream, in bytes: a declaration is the largest. */
export const MAXIMUM_STREAM_MESSAGE_BYTES = 16 * 1024 * 1024
/** Bytes that may wait for a reader before the stream is ended, so that a reader that has stopped holds no memory. */
const MAXIMUM_UNSENT_BYTES = 32 * 1024 * 1024
/** Bytes of the length before each message. */
export const LENGTH_BYTES = 4
const HTTP_OK = 200

export interface MessageStreamHandlers {
  message: (body: Buffer) => void
  /** Called once, when the stream has ended for whatever reason. */
  closed: (reason: string) => void
}

export interface MessageStream {
  /** Sends a message; without effect once the stream has ended. */
  send: (body: Uint8Array) => void
  /** Ends the stream. `discarded` bytes that have not left yet are not delivered later by the kernel; over TLS and on HTTP/2 they may be. @default 'kept' */
  close: (reason: string, unsent?: 'kept' | 'discarded') => void
  isOpen: () => boolean
}

/** A message is longer than a stream carries. */
export class MessageLengthError extends Error {
  override name = 'MessageLengthError'
}

/** Returns a function that takes the bytes of a stream as they arrive, and returns the messages that are complete. It throws a MessageLengthError. */
export function createMessageReader (maximumBytes = MAXIMUM_STREAM_MESSAGE_BYTES): (chunk: Buffer) => Buffer[] {
  const pending = createByteCollector()
  /** Bytes from which another message may be complete. */
  let needed = LENGTH_BYTES
  return chunk => {
    let bytes = chunk
    if (pending.byteLength() > 0) {
      pending.add(chunk)
      if (pending.byteLength() < needed) return []
      bytes = pending.take()
    }
    const messages: Buffer[] = []
    while (bytes.length >= LENGTH_BYTES) {
      const length = bytes.readUInt32BE(0)
      if (length > maximumBytes) throw new MessageLengthError(`a message of ${length} bytes is announced; at most ${maximumBytes} are allowed`)
      if (bytes.length < LENGTH_BYTES + length) break
      messages.push(bytes.subarray(LENGTH_BYTES, LENGTH_BYTES + length))
      bytes = bytes.subarray(LENGTH_BYTES + length)
    }
    if (bytes.length > 0) pending.add(bytes)
    needed = bytes.length < LENGTH_BYTES ? LENGTH_BYTES : LENGTH_BYTES + bytes.readUInt32BE(0)
    return messages
  }
}

export function frameMessage (body: Uint8Array): Buffer {
  const frame = Buffer.allocUnsafe(LENGTH_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  frame.set(body, LENGTH_BYTES)
  return frame
}

/** Reads and writes messages on a stream of bytes. `attach` gets the message stream before any message arrives. `readHead` takes what comes before the first message, and returns the bytes that follow it. */
export function createMessageStream (stream: Duplex, attach: (messages: MessageStream) => MessageStreamHandlers, readHead: (chunk: Buffer) => Buffer = chunk => chunk): MessageStream {
  const read = createMessageReader()
  let open = true

  function close (reason: string, unsent: 'kept' | 'discarded' = 'kept'): void {
    if (!open) return
    open = false
    if (unsent === 'discarded' && stream instanceof Socket && !(stream instanceof TLSSocket)) stream.resetAndDestroy()
    else stream.destroy()
    handlers.closed(reason)
  }

  const messages: MessageStream = {
    send: body => {
      if (!open) return
      if (stream.destroyed || stream.writableLength > MAXIMUM_UNSENT_BYTES) return close('the other side does not read')
      stream.write(frameMessage(body))
    },
    close,
    isOpen: () => open
  }
  const handlers = attach(messages)

  stream.on('data', (chunk: Buffer) => {
    try {
      for (const message of read(readHead(chunk))) {
        if (!open) return
        handlers.message(message)
      }
    } catch (error) {
      close((error as Error).message)
    }
  })
  // `response` is an event of the client's end only.
  stream.on('response', (headers: { ':status'?: number }) => {
    if (headers[':status'] !== HTTP_OK) close(`the stream was refused with status ${headers[':status']}`)
  })
  stream.on('error', error => { close(error.message) })
  stream.on('end', () => { close('the other side ended the stream') })
  stream.on('close', () => { close('the stream was closed') })
  return messages
}
