/** Bounds the connections that have not yet shown what they are for: by a first message, a request or a secret. */

import type { Socket } from 'node:net'

export interface SilentConnections {
  add: (socket: Socket) => void
  /** The connection has shown what it is for. */
  remove: (socket: Socket) => void
  count: () => number
}

/**
 * Creates a list that closes its oldest connection when there are more than `maximum`. Refusing
 * the newest would let clients that send nothing keep out all others until they time out.
 */
export function createSilentConnections (maximum: number, onClosed: () => void): SilentConnections {
  const sockets = new Set<Socket>()
  return {
    add: socket => {
      sockets.add(socket)
      socket.once('close', () => { sockets.delete(socket) })
      if (sockets.size <= maximum) return
      const [oldest] = sockets
      sockets.delete(oldest)
      oldest.destroy()
      onClosed()
    },
    remove: socket => { sockets.delete(socket) },
    count: () => sockets.size
  }
}
