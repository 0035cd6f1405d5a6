/**
 * Splits a byte stream of the PostgreSQL wire protocol into frames.
 *
 * A frame consists of one type byte, a four-byte length that includes itself,
 * and the payload. Rows are passed on as received; only what a decision depends
 * on is decoded.
 */

import { createByteCollector } from '../byteCollector.js'
import { FrameTooLongError, MalformedFrameError } from './errors.js'

/** Size of a frame's header (type and length), in bytes. */
export const FRAME_HEADER_BYTES = 5

/** One complete frame; `bytes` includes its header. */
export interface Frame {
  /** Type byte, as a character code. */
  type: number
  bytes: Buffer
}

export interface FrameSplitter {
  /** Adds received bytes and calls `onFrame` for each frame that they complete. */
  push: (chunk: Buffer) => void
  /** Memory that is in use for an incomplete frame, in bytes. */
  pendingBytes: () => number
}

/**
 * Creates a splitter that calls `onFrame` for each complete frame.
 *
 * @throws FrameTooLongError from `push`, when a frame declares more than `maximumFrameBytes`
 * @throws MalformedFrameError from `push`, when a frame's length is less than its own four bytes
 */
export function createFrameSplitter (maximumFrameBytes: number, onFrame: (frame: Frame) => void): FrameSplitter {
  const pending = createByteCollector()
  let neededBytes = FRAME_HEADER_BYTES

  function readFrameLength (buffer: Buffer, offset: number): number {
    const length = buffer.readUInt32BE(offset + 1)
    if (length < 4) throw new MalformedFrameError(buffer[offset], length)
    if (length + 1 > maximumFrameBytes) throw new FrameTooLongError(buffer[offset], length + 1, maximumFrameBytes)
    return length + 1
  }

  function push (chunk: Buffer): void {
    let buffer = chunk
    if (pending.byteLength() > 0) {
      pending.add(chunk)
      if (pending.byteLength() < neededBytes) return
      buffer = pending.take()
    }
    let offset = 0
    neededBytes = FRAME_HEADER_BYTES
    while (buffer.length - offset >= FRAME_HEADER_BYTES) {
      const length = readFrameLength(buffer, offset)
      if (buffer.length - offset < length) {
        neededBytes = length
        break
      }
      onFrame({ type: buffer[offset], bytes: buffer.subarray(offset, offset + length) })
      offset += length
    }
    if (offset === buffer.length) return
    pending.add(buffer.subarray(offset))
  }

  return { push, pendingBytes: pending.capacity }
}
