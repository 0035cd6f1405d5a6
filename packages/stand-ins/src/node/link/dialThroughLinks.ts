/**
 * Loaded into a process before its program (`node --import`). Redirects
 * connections to the hosts that this module's URL names, to the same port of the
 * hosts where links listen (`?127.0.0.1=127.1.1.1&localhost=127.1.1.1`). A process
 * that was started with a channel to its parent ends when the parent does.
 */

import { Socket } from 'node:net'

const linkHosts = new URL(import.meta.url).searchParams

interface ConnectOptions { host?: string, port?: number }

type Connect = (this: Socket, ...parameters: unknown[]) => Socket

function redirectToLinkHost (options: ConnectOptions): ConnectOptions {
  const host = linkHosts.get(options.host ?? '')
  return options.port !== undefined && host !== null ? { ...options, host } : options
}

const prototype = Socket.prototype as unknown as { connect: Connect }
const { connect } = prototype

prototype.connect = function (...parameters) {
  const [first, second, ...others] = parameters
  if (Array.isArray(first)) {
    // Normalized arguments of Node's own modules. The array is changed in place: a copy would lose the symbol that marks it.
    first[0] = redirectToLinkHost(first[0] as ConnectOptions)
    return connect.call(this, ...parameters)
  }
  if (typeof first === 'object' && first !== null) return connect.call(this, redirectToLinkHost(first), second, ...others)
  if (typeof second === 'string') return connect.call(this, redirectToLinkHost({ port: Number(first), host: second }), ...others)
  return connect.call(this, ...parameters)
}

if (process.channel !== undefined) {
  process.once('disconnect', () => { process.exit() })
  process.channel.unref()
}
