/**
 * Splits a byte stream of the PostgreSQL wire protocol into frames.
 *
 * A frame is one type byte, a length of four bytes that counts itself, and the
 * payload. Rows are passed on as the bytes that arrived; only what a decision
 * needs is ever decoded.
 */

import { FrameTooLongError, MalformedFrameError } from './errors.js'

/** Bytes of a frame in front of its payload: the type and the length. */
export const FRAME_HEADER_BYTES = 5

/** One frame; `bytes` is the whole of it, its header included. */
export interface Frame {
  /** Type byte, as a character code. */
  type: number
  bytes: Buffer
}

export interface FrameSplitter {
  /** Adds bytes as they arrive and calls `onFrame` for each frame that is now whole. */
  push: (chunk: Buffer) => void
  /** Bytes held for a frame that is not whole yet. */
  pendingBytes: () => number
}

/**
 * Creates a splitter.
 *
 * @throws FrameTooLongError from `push`, when a frame announces more than `maximumFrameBytes`
 * @throws MalformedFrameError from `push`, when a frame's length is less than its own four bytes
 */
export function createFrameSplitter (maximumFrameBytes: number, onFrame: (frame: Frame) => void): FrameSplitter {
  let pendingChunks: Buffer[] = []
  let pendingBytes = 0
  let neededBytes = FRAME_HEADER_BYTES

  function readFrameLength (buffer: Buffer, offset: number): number {
    const length = buffer.readUInt32BE(offset + 1)
    if (length < 4) throw new MalformedFrameError(buffer[offset], length)
    if (length + 1 > maximumFrameBytes) throw new FrameTooLongError(buffer[offset], length + 1, maximumFrameBytes)
    return length + 1
  }

  function push (chunk: Buffer): void {
    let buffer = chunk
    if (pendingBytes > 0) {
      pendingChunks.push(chunk)
      pendingBytes += chunk.length
      // Joining once per whole frame keeps a big frame in small chunks linear.
      if (pendingBytes < neededBytes) return
      buffer = Buffer.concat(pendingChunks, pendingBytes)
      pendingChunks = []
      pendingBytes = 0
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
    const remainder = buffer.subarray(offset)
    pendingChunks = [remainder]
    pendingBytes = remainder.length
  }

  return { push, pendingBytes: () => pendingBytes }
}
