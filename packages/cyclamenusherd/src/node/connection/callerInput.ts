/** Bounds on the input of callers that is received but not being processed yet. */

import { mayKeep } from '@cyclamenusher/decisions'
import type { Frame } from '@cyclamenusher/protocol'

/** Number of queued frames above which the caller's socket is paused while a request runs. */
const MAXIMUM_QUEUED_FRAMES = 10_000
/** Queued bytes above which the caller's socket is paused while a request runs. */
const MAXIMUM_QUEUED_BYTES = 256 * 1024

/** Limits the memory that incomplete requests of all callers of an instance may use together. */
export interface InputBudget {
  /** Reserves bytes, or releases them when negative. Returns false when the reserved bytes exceed the budget; they stay reserved. */
  adjust: (bytes: number) => boolean
  /** Reserves bytes that stay until they are released with a negative number. Returns false, and reserves none, if too much is kept. */
  keep: (bytes: number) => boolean
}

export function createInputBudget (maximumBytes: number): InputBudget {
  let reservedBytes = 0
  let keptBytes = 0
  return {
    keep: bytes => {
      if (bytes > 0 && !mayKeep(keptBytes, maximumBytes, bytes)) return false
      keptBytes += bytes
      reservedBytes += bytes
      return true
    },
    adjust: bytes => {
      reservedBytes += bytes
      return bytes <= 0 || reservedBytes <= maximumBytes
    }
  }
}

/** Queue of frames that are not part of a batch yet. */
export interface FrameQueue {
  add: (frame: Frame) => void
  /** Removes and returns the oldest frame. */
  take: () => Frame | undefined
  /** Whether no more should be read from the caller. Frames can still be added. */
  isFull: () => boolean
  byteLength: () => number
}

export function createFrameQueue (): FrameQueue {
  let frames: Frame[] = []
  let firstIndex = 0
  let bytes = 0
  return {
    add: frame => {
      frames.push(frame)
      bytes += frame.bytes.length
    },
    take: () => {
      const frame = frames[firstIndex]
      if (frame === undefined) return undefined
      firstIndex += 1
      bytes -= frame.bytes.length
      if (firstIndex === frames.length) {
        frames = []
        firstIndex = 0
      }
      return frame
    },
    byteLength: () => bytes,
    isFull: () => frames.length - firstIndex > MAXIMUM_QUEUED_FRAMES || bytes > MAXIMUM_QUEUED_BYTES
  }
}
