/** Opens message streams to one address, each on a connection of its own. An instance of the build before, which does not know these, gets them on HTTP/2 streams. */

import { connect as connectTcp } from 'node:net'
import { connect as connectTls } from 'node:tls'
import { ConnectionError } from './callSession.js'
import { STREAM_PROTOCOL, openSocketStream } from './streamSocket.js'
import type { Socket } from 'node:net'
import type { MessageStream, MessageStreamHandlers } from './messageStream.js'
import type { PeerCredentials } from './transport.js'

/** Maximum time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MILLISECONDS = 2_000

type Attach = (stream: MessageStream) => MessageStreamHandlers

export interface StreamOpenerOptions {
  host: string
  port: number
  credentials: PeerCredentials
  /** Opens a stream on an HTTP/2 connection. */
  openCallStream: (name: string, attach: Attach) => Promise<MessageStream>
}

export interface StreamOpener {
  /** An aborted `signal` gives up the connection. @throws ConnectionError */
  open: (name: string, attach: Attach, signal?: AbortSignal) => Promise<MessageStream>
  /** Closes all connections of streams. */
  abort: () => void
}

export function createStreamOpener ({ host, port, credentials: { secret, tls }, openCallStream }: StreamOpenerOptions): StreamOpener {
  const sockets = new Set<Socket>()
  let usesCalls = false

  function connect (): Socket {
    if (tls === undefined) return connectTcp({ host, port })
    return connectTls({ host, port, key: tls.key, cert: tls.certificate, ca: tls.authority, checkServerIdentity: () => undefined, ALPNProtocols: [STREAM_PROTOCOL] })
  }

  async function openSocket (signal?: AbortSignal): Promise<Socket> {
    const socket = connect()
    const abandon = (): void => { socket.destroy() }
    sockets.add(socket)
    signal?.addEventListener('abort', abandon)
    socket.once('close', () => {
      sockets.delete(socket)
      signal?.removeEventListener('abort', abandon)
    })
    await new Promise<void>((resolve, reject) => {
      const timer = setTimeout(() => { socket.destroy(new Error('no connection in time')) }, CONNECT_TIMEOUT_MILLISECONDS)
      socket.once(tls === undefined ? 'connect' : 'secureConnect', () => {
        clearTimeout(timer)
        resolve()
      })
      socket.on('error', error => { reject(new ConnectionError(error.message)) })
      socket.once('close', () => {
        clearTimeout(timer)
        reject(new ConnectionError('the connection was closed'))
      })
    })
    signal?.removeEventListener('abort', abandon)
    return socket
  }

  return {
    open: async (name, attach, signal) => {
      if (usesCalls) {
        // The process that knew no other streams may have been replaced.
        signal?.addEventListener('abort', () => { usesCalls = false })
        return await openCallStream(name, attach)
      }
      const socket = await openSocket(signal)
      return openSocketStream(socket, { stream: name, secret }, attach, () => { usesCalls = true })
    },
    abort: () => {
      usesCalls = false
      for (const socket of sockets) socket.destroy()
    }
  }
}
