/** Loopback addresses and line framing that the stand-ins share. */

import { randomInt } from 'node:crypto'

const CLIENT_PORT = 8465
const READINESS_PORT = 8460
const CONTROL_PORT = 8462
const SERVER_PORT = 8080
const PROVIDER_PORT = 8466
const INTERNAL_PORTS = [7560, 7575]

export const PORTS = { client: CLIENT_PORT, readiness: READINESS_PORT, control: CONTROL_PORT, server: SERVER_PORT, provider: PROVIDER_PORT, internal: INTERNAL_PORTS }

/** Hands out loopback addresses of a network that is drawn at random, so that two runs do not meet. */
export function createAddresses () {
  const network = `127.${randomInt(16, 240)}.${randomInt(1, 250)}`
  let last = 1
  return () => {
    last += 1
    return `${network}.${last}`
  }
}

/** Splits a byte stream into lines that end with CR LF, one character a byte. */
export function createLines (onLine) {
  let pending = ''
  return chunk => {
    pending += chunk.toString('latin1')
    for (let end = pending.indexOf('\r\n'); end !== -1; end = pending.indexOf('\r\n')) {
      const line = pending.slice(0, end)
      pending = pending.slice(end + 2)
      onLine(line)
    }
  }
}

/** Returns the first word of a text, and the rest after the blank. */
export function splitWord (text) {
  const blank = text.indexOf(' ')
  return blank === -1 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)]
}

export async function pause (milliseconds) {
  await new Promise(resolve => { setTimeout(resolve, milliseconds) })
}
