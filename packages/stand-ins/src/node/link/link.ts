/**
 * A stand-in for the network between two processes: forwards bytes, delays them,
 * holds them as a partition does, or drops them while the connection stays open
 * at both ends.
 */

import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

/**
 * How bytes are treated. `held` bytes arrive once the link is `passing` again, as
 * after retransmission. A connection that has been `lost` never delivers bytes again.
 */
export type LinkState = 'passing' | 'held' | 'lost'

/** `forward` is the direction from the connecting process to the target. */
export type LinkDirection = 'forward' | 'back'

export interface LinkAddress {
  host: string
  port: number
}

export interface LinkOptions {
  listen: LinkAddress
  target: LinkAddress
}

export interface Link {
  port: number
  /** Sets the state of open and new connections. */
  setState: (state: LinkState, directions?: readonly LinkDirection[]) => void
  /** Sets open connections to `lost`; new ones get the link's state. */
  loseOpenConnections: (directions?: readonly LinkDirection[]) => void
  /** Sets whether new connections are closed at once. */
  setRefusing: (refusing: boolean) => void
  /** Sets the delay of each chunk in each direction, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /** Closes every open connection. */
  closeOpenConnections: () => void
  /** Number of open connections. */
  connections: () => number
  close: () => Promise<void>
}

/** Bytes that one direction of a connection buffers before it stops reading. */
const MAXIMUM_HELD_BYTES = 1024 * 1024

export const BOTH_DIRECTIONS: readonly LinkDirection[] = ['forward', 'back']

interface Pipe {
  setState: (state: LinkState) => void
  /** Called when the source has closed. Delivers the queued bytes, then ends the target. */
  finish: () => void
}

/** Forwards one direction of one connection; `delay` returns milliseconds. */
function createPipe (from: Socket, to: Socket, initialState: LinkState, delay: () => number): Pipe {
  let state = initialState
  let queue: Array<{ chunk: Buffer | undefined, dueAt: number }> = []
  let heldBytes = 0
  let timer: NodeJS.Timeout | undefined
  let ended = false

  function pump (): void {
    clearTimeout(timer)
    timer = undefined
    while (state === 'passing' && queue.length > 0) {
      const [{ chunk, dueAt }] = queue
      const waitMilliseconds = dueAt - performance.now()
      if (waitMilliseconds > 0) {
        timer = setTimeout(pump, Math.max(1, Math.round(waitMilliseconds)))
        return
      }
      queue.shift()
      if (chunk === undefined) {
        to.end()
        continue
      }
      heldBytes -= chunk.length
      if (!to.write(chunk)) from.pause()
    }
    if (heldBytes < MAXIMUM_HELD_BYTES && !to.writableNeedDrain) from.resume()
  }

  function enqueue (chunk: Buffer | undefined): void {
    if (state === 'lost' || ended) return
    ended = chunk === undefined
    queue.push({ chunk, dueAt: performance.now() + delay() })
    heldBytes += chunk?.length ?? 0
    if (heldBytes > MAXIMUM_HELD_BYTES) from.pause()
    if (timer === undefined) pump()
  }

  from.on('data', enqueue)
  from.on('end', () => { enqueue(undefined) })
  to.on('drain', pump)
  return {
    finish: () => { enqueue(undefined) },
    setState: next => {
      if (state === 'lost') return
      state = next
      if (state === 'lost') {
        queue = []
        from.resume()
      }
      pump()
    }
  }
}

/** Starts a link; port 0 selects a free port. */
export async function createLink ({ listen, target }: LinkOptions): Promise<Link> {
  const states: Record<LinkDirection, LinkState> = { forward: 'passing', back: 'passing' }
  const openConnections = new Set<{ clientSocket: Socket, targetSocket: Socket, pipes: Record<LinkDirection, Pipe> }>()
  let refusing = false
  let delayMilliseconds = 0
  const delay = (): number => delayMilliseconds

  const server = createServer({ allowHalfOpen: true }, clientSocket => {
    clientSocket.on('error', () => { clientSocket.destroy() })
    if (refusing) {
      clientSocket.destroy()
      return
    }
    clientSocket.setNoDelay(true)
    const targetSocket = connect({ host: target.host, port: target.port, allowHalfOpen: true, noDelay: true })
    targetSocket.on('error', () => { targetSocket.destroy() })
    const pipes = { forward: createPipe(clientSocket, targetSocket, states.forward, delay), back: createPipe(targetSocket, clientSocket, states.back, delay) }
    const connection = { clientSocket, targetSocket, pipes }
    openConnections.add(connection)
    const removeIfClosed = (): void => { if (clientSocket.destroyed && targetSocket.destroyed) openConnections.delete(connection) }
    clientSocket.on('close', () => {
      pipes.forward.finish()
      removeIfClosed()
    })
    targetSocket.on('close', () => {
      pipes.back.finish()
      removeIfClosed()
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  const address = server.address()

  function closeOpenConnections (): void {
    for (const { clientSocket, targetSocket } of openConnections) {
      clientSocket.destroy()
      targetSocket.destroy()
    }
    openConnections.clear()
  }

  return {
    port: typeof address === 'object' && address !== null ? address.port : listen.port,
    setState: (state, directions = BOTH_DIRECTIONS) => {
      for (const direction of directions) states[direction] = state
      for (const { pipes } of openConnections) for (const direction of directions) pipes[direction].setState(state)
    },
    loseOpenConnections: (directions = BOTH_DIRECTIONS) => {
      for (const { pipes } of openConnections) for (const direction of directions) pipes[direction].setState('lost')
    },
    setRefusing: next => { refusing = next },
    setDelay: milliseconds => { delayMilliseconds = milliseconds },
    closeOpenConnections,
    connections: () => openConnections.size,
    close: async () => {
      const closed = new Promise<void>(resolve => server.close(() => { resolve() }))
      closeOpenConnections()
      await closed
    }
  }
}
