/** Collects frames for one write, and joins frames that are adjacent in memory into one buffer. */

import type { Socket } from 'node:net'

/** Total size up to which copying buffers into one costs less than separate writes, in bytes. */
const MAXIMUM_COPY_BYTES = 16 * 1024

/** Writes several buffers at once. Returns false if the socket's buffer is full. */
export function writePieces (socket: Socket, pieces: readonly Buffer[]): boolean {
  if (pieces.length === 1) return socket.write(pieces[0])
  const total = pieces.reduce((sum, { length }) => sum + length, 0)
  if (total <= MAXIMUM_COPY_BYTES) return socket.write(Buffer.concat(pieces, total))
  let canWriteMore = true
  socket.cork()
  for (const piece of pieces) canWriteMore = socket.write(piece)
  socket.uncork()
  return canWriteMore
}

export interface ByteRuns {
  add: (bytes: Buffer) => void
  /** Removes and returns all buffers, in order. */
  take: () => Buffer[]
  isEmpty: () => boolean
  byteLength: () => number
}

export function createByteRuns (): ByteRuns {
  let pieces: Buffer[] = []
  let run: Buffer | undefined
  let runEnd = 0
  let total = 0

  function closeRun (): void {
    if (run === undefined) return
    pieces.push(Buffer.from(run.buffer, run.byteOffset, runEnd - run.byteOffset))
    run = undefined
  }

  return {
    add: bytes => {
      total += bytes.length
      if (run !== undefined && run.buffer === bytes.buffer && runEnd === bytes.byteOffset) {
        runEnd += bytes.length
        return
      }
      closeRun()
      run = bytes
      runEnd = bytes.byteOffset + bytes.length
    },
    take: () => {
      closeRun()
      const taken = pieces
      pieces = []
      total = 0
      return taken
    },
    isEmpty: () => total === 0,
    byteLength: () => total
  }
}
