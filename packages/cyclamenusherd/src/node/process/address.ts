/** Parses and checks addresses of the form `IP:port`, as settings write them. */

import { isIP } from 'node:net'

/** An IP address and a port. */
export interface Address {
  host: string
  port: number
}

/** Form of an address in settings; `isAddress` checks the ranges. */
export const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
export const ADDRESS_SHAPE = 'an IP number and a port, as "127.0.0.1:6432"'
const HIGHEST_PORT = 65_535

/** Parses an address that matches `ADDRESS_PATTERN`; brackets around the IP address are removed. */
export function parseAddress (text: string): Address {
  const separator = text.lastIndexOf(':')
  return { host: text.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(text.slice(separator + 1)) }
}

/** Whether the IP address and the port are valid. */
export function isAddress (text: string): boolean {
  const { host, port } = parseAddress(text)
  return isIP(host) !== 0 && port <= HIGHEST_PORT
}

/** Whether the host is a loopback address. */
export function isLoopback (host: string): boolean {
  return host.startsWith('127.') || host === '::1'
}
