/**
 * Splits a byte stream of the PostgreSQL wire protocol into frames.
 *
 * A frame consists of one type byte, a four-byte length that includes itself,
 * and the payload. Rows are passed on as received; only what a decision depends
 * on is decoded.
 */

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
  /** Bytes buffered for an incomplete frame. */
  pendingBytes: () => number
}

/**
 * Creates a splitter that calls `onFrame` for each complete frame.
 *
 * @throws FrameTooLongError from `push`, when a frame declares more than `maximumFrameBytes`
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
      // Chunks are joined once per frame, so that a large frame in many small chunks takes linear time.
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
