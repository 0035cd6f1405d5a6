/**
 * Loaded into a process before its program (`node --import`). Redirects
 * connections to 127.0.0.1 to the same port of the host that this module's URL
 * gives (`?host=127.1.1.1`), where the links of the process's failure domain listen.
 */

import { Socket } from 'node:net'

const host = new URL(import.meta.url).searchParams.get('host') ?? ''

interface ConnectOptions { host?: string, port?: number }

type Connect = (this: Socket, ...parameters: unknown[]) => Socket

function redirectToLinkHost (options: ConnectOptions): ConnectOptions {
  return options.port !== undefined && (options.host === '127.0.0.1' || options.host === 'localhost') ? { ...options, host } : options
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
