/** Addresses by IP number, as settings write them. */

import { isIP } from 'node:net'

/** An address by IP number. */
export interface Address {
  host: string
  port: number
}

/** What an address looks like in settings. */
export const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/
export const ADDRESS_SHAPE = 'an IP number and a port, as "127.0.0.1:6432"'
const HIGHEST_PORT = 65_535

/** Reads an address of that look, with or without brackets around the IP number. */
export function parseAddress (text: string): Address {
  const separator = text.lastIndexOf(':')
  return { host: text.slice(0, separator).replace(/^\[|\]$/g, ''), port: Number(text.slice(separator + 1)) }
}

/** Whether the IP number and the port can exist. */
export function isAddress (text: string): boolean {
  const { host, port } = parseAddress(text)
  return isIP(host) !== 0 && port <= HIGHEST_PORT
}

/** Whether only this machine can reach the IP number. */
export function isLoopback (host: string): boolean {
  return host.startsWith('127.') || host === '::1'
}
