/** Collects the pieces of an incomplete message. */

const FIRST_CAPACITY_BYTES = 256
const EMPTY = Buffer.alloc(0)

export interface ByteCollector {
  /** Appends a copy of the bytes. */
  add: (bytes: Buffer) => void
  /** Removes and returns all bytes. */
  take: () => Buffer
  /** Collected bytes, without a copy; valid until the next call. */
  view: () => Buffer
  byteLength: () => number
  /** Memory that is in use for the collected bytes. */
  capacity: () => number
}

/**
 * Creates a collector that copies all pieces into one buffer, which doubles as needed. A list of
 * the pieces would take many times their bytes when they are small, and a view of a chunk would
 * keep the whole chunk.
 */
export function createByteCollector (): ByteCollector {
  let buffer = EMPTY
  let length = 0

  function view (): Buffer {
    return buffer.subarray(0, length)
  }

  return {
    add: bytes => {
      const needed = length + bytes.length
      if (needed > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(Math.max(needed, 2 * buffer.length, FIRST_CAPACITY_BYTES))
        buffer.copy(grown, 0, 0, length)
        buffer = grown
      }
      bytes.copy(buffer, length)
      length = needed
    },
    take: () => {
      const taken = view()
      buffer = EMPTY
      length = 0
      return taken
    },
    view,
    byteLength: () => length,
    capacity: () => buffer.length
  }
}
