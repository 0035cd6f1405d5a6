/**
 * A forwarding stand-in for the network between two processes: passes bytes,
 * delays them, holds them as a partition does, or loses them for good while
 * both ends still believe in their connection.
 */

import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

/**
 * What becomes of bytes: `held` ones arrive after the link passes again, as
 * with retransmission after a partition; a connection that was `lost` once stays silent.
 */
export type LinkState = 'passing' | 'held' | 'lost'

/** `forward` runs from the one who connected to the target. */
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
  /** For open connections and new ones alike. */
  setState: (state: LinkState, directions?: readonly LinkDirection[]) => void
  /** Open connections stay silent for good; new ones follow the link's state. */
  loseOpen: (directions?: readonly LinkDirection[]) => void
  /** New connections are closed at once. */
  refuse: (refusing: boolean) => void
  /** Delay of each chunk, each way, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /** Closes every open connection. */
  closeOpen: () => void
  connections: () => number
  close: () => Promise<void>
}

/** Bytes that one direction may hold before it stops reading. */
const MAXIMUM_HELD_BYTES = 1024 * 1024

export const BOTH_DIRECTIONS: readonly LinkDirection[] = ['forward', 'back']

interface Pipe {
  setState: (state: LinkState) => void
  /** Its source is gone: what is on its way still arrives, then the end. */
  finish: () => void
}

/** Carries one direction of one connection. */
function createPipe (from: Socket, to: Socket, initial: LinkState, delay: () => number): Pipe {
  let state = initial
  let queue: Array<{ chunk: Buffer | undefined, due: number }> = []
  let heldBytes = 0
  let timer: NodeJS.Timeout | undefined
  let ended = false

  function pump (): void {
    clearTimeout(timer)
    timer = undefined
    while (state === 'passing' && queue.length > 0) {
      const [{ chunk, due }] = queue
      const wait = due - performance.now()
      if (wait > 0) {
        timer = setTimeout(pump, Math.max(1, Math.round(wait)))
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

  function take (chunk: Buffer | undefined): void {
    if (state === 'lost' || ended) return
    ended = chunk === undefined
    queue.push({ chunk, due: performance.now() + delay() })
    heldBytes += chunk?.length ?? 0
    if (heldBytes > MAXIMUM_HELD_BYTES) from.pause()
    if (timer === undefined) pump()
  }

  from.on('data', take)
  from.on('end', () => { take(undefined) })
  to.on('drain', pump)
  return {
    finish: () => { take(undefined) },
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

/** Starts a link; port 0 picks a free one. */
export async function createLink ({ listen, target }: LinkOptions): Promise<Link> {
  const states: Record<LinkDirection, LinkState> = { forward: 'passing', back: 'passing' }
  const open = new Set<{ near: Socket, far: Socket, pipes: Record<LinkDirection, Pipe> }>()
  let refusing = false
  let delayMilliseconds = 0
  const delay = (): number => delayMilliseconds

  const server = createServer({ allowHalfOpen: true }, near => {
    near.on('error', () => { near.destroy() })
    if (refusing) {
      near.destroy()
      return
    }
    near.setNoDelay(true)
    const far = connect({ host: target.host, port: target.port, allowHalfOpen: true, noDelay: true })
    far.on('error', () => { far.destroy() })
    const pipes = { forward: createPipe(near, far, states.forward, delay), back: createPipe(far, near, states.back, delay) }
    const connection = { near, far, pipes }
    open.add(connection)
    const forget = (): void => { if (near.destroyed && far.destroyed) open.delete(connection) }
    near.on('close', () => {
      pipes.forward.finish()
      forget()
    })
    far.on('close', () => {
      pipes.back.finish()
      forget()
    })
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  const address = server.address()

  function closeOpen (): void {
    for (const { near, far } of open) {
      near.destroy()
      far.destroy()
    }
    open.clear()
  }

  return {
    port: typeof address === 'object' && address !== null ? address.port : listen.port,
    setState: (state, directions = BOTH_DIRECTIONS) => {
      for (const direction of directions) states[direction] = state
      for (const { pipes } of open) for (const direction of directions) pipes[direction].setState(state)
    },
    loseOpen: (directions = BOTH_DIRECTIONS) => {
      for (const { pipes } of open) for (const direction of directions) pipes[direction].setState('lost')
    },
    refuse: next => { refusing = next },
    setDelay: milliseconds => { delayMilliseconds = milliseconds },
    closeOpen,
    connections: () => open.size,
    close: async () => {
      const closed = new Promise<void>(resolve => server.close(() => { resolve() }))
      closeOpen()
      await closed
    }
  }
}
