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
  /**
   * Whether held bytes and new connections go on only when a kernel would send them again, at
   * intervals that double, and not at once when the link passes again. @default false
   */
  retransmits?: boolean
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
/** First waits of a kernel before it sends unacknowledged bytes, or the request for a connection, again, in milliseconds. */
const FIRST_RETRANSMISSION_MILLISECONDS = 200
const FIRST_CONNECTION_RETRY_MILLISECONDS = 1_000

export const BOTH_DIRECTIONS: readonly LinkDirection[] = ['forward', 'back']

interface Pipe {
  setState: (state: LinkState) => void
  /** Called when the source has closed. Delivers the queued bytes, then ends the target. */
  finish: () => void
}

/** Returns when a kernel next repeats what it first sent at `since`: each wait is twice the one before. */
function nextRetry (since: number, firstWait: number): number {
  const now = performance.now()
  let at = since + firstWait
  for (let wait = firstWait * 2; at <= now; wait *= 2) at += wait
  return at
}

interface PipeOptions {
  /** Returns milliseconds. */
  delay: () => number
  retransmits: boolean
}

/** Forwards one direction of one connection. */
function createPipe (from: Socket, to: Socket, initialState: LinkState, { delay, retransmits }: PipeOptions): Pipe {
  let state = initialState
  let queue: Array<{ chunk: Buffer | undefined, dueAt: number }> = []
  let heldBytes = 0
  let timer: NodeJS.Timeout | undefined
  let ended = false
  /** When the first byte was held that has not been delivered since. */
  let heldSince: number | undefined
  let notBefore = -Infinity

  function pump (): void {
    clearTimeout(timer)
    timer = undefined
    while (state === 'passing' && queue.length > 0) {
      const [{ chunk, dueAt }] = queue
      const waitMilliseconds = Math.max(dueAt, notBefore) - performance.now()
      if (waitMilliseconds > 0) {
        timer = setTimeout(pump, Math.max(1, Math.round(waitMilliseconds)))
        return
      }
      queue.shift()
      heldSince = undefined
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
    if (retransmits && state === 'held') heldSince ??= performance.now()
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
      if (heldSince !== undefined) notBefore = nextRetry(heldSince, FIRST_RETRANSMISSION_MILLISECONDS)
      if (state === 'lost') {
        queue = []
        from.resume()
      }
      pump()
    }
  }
}

/** Starts a link; port 0 selects a free port. */
export async function createLink ({ listen, target, retransmits = false }: LinkOptions): Promise<Link> {
  const states: Record<LinkDirection, LinkState> = { forward: 'passing', back: 'passing' }
  const openConnections = new Set<{ clientSocket: Socket, targetSocket: Socket, pipes: Record<LinkDirection, Pipe> }>()
  let refusing = false
  let delayMilliseconds = 0
  const pipeOptions = { delay: () => delayMilliseconds, retransmits }
  /** Connections that have not reached the target yet. */
  const unopened = new Set<Socket>()

  function connectWhenPassing (clientSocket: Socket, since: number): void {
    unopened.delete(clientSocket)
    if (clientSocket.destroyed) return
    if (!retransmits || Object.values(states).every(state => state === 'passing')) {
      openConnection(clientSocket)
      return
    }
    unopened.add(clientSocket)
    setTimeout(() => { connectWhenPassing(clientSocket, since) }, nextRetry(since, FIRST_CONNECTION_RETRY_MILLISECONDS) - performance.now()).unref()
  }

  const server = createServer({ allowHalfOpen: true }, clientSocket => {
    clientSocket.on('error', () => { clientSocket.destroy() })
    if (refusing) {
      clientSocket.destroy()
      return
    }
    connectWhenPassing(clientSocket, performance.now())
  })

  function openConnection (clientSocket: Socket): void {
    clientSocket.setNoDelay(true)
    const targetSocket = connect({ host: target.host, port: target.port, allowHalfOpen: true, noDelay: true })
    targetSocket.on('error', () => { targetSocket.destroy() })
    const pipes = { forward: createPipe(clientSocket, targetSocket, states.forward, pipeOptions), back: createPipe(targetSocket, clientSocket, states.back, pipeOptions) }
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
  }

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  const address = server.address()

  function closeOpenConnections (): void {
    for (const socket of unopened) socket.destroy()
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
