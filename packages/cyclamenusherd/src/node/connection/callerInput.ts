/** What callers have sent that is not being served yet, and the bounds on it. */

import type { Frame } from '@cyclamenusher/protocol'

/** Frames that may wait while a request runs. */
const MAXIMUM_QUEUED_FRAMES = 10_000
/** Bytes that may wait while a request runs. */
const MAXIMUM_QUEUED_BYTES = 256 * 1024

/** Memory that requests which are not complete yet may take, over all callers of an instance. */
export interface InputBudget {
  /** Takes bytes, or gives them back when negative. False: more is taken than there is. */
  adjust: (bytes: number) => boolean
}

export function createInputBudget (maximumBytes: number): InputBudget {
  let reservedBytes = 0
  return {
    adjust: bytes => {
      reservedBytes += bytes
      return bytes <= 0 || reservedBytes <= maximumBytes
    }
  }
}

/** Frames that wait to be made into batches, and how much of them may. */
export interface FrameQueue {
  add: (frame: Frame) => void
  take: () => Frame | undefined
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
