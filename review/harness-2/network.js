/** Loopback addresses and line framing that the stand-ins share. */

import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

const INTERNAL_PORT_COUNT = 16
const PORT_NAMES = ['client', 'readiness', 'control', 'server', 'provider']

/** The ports of this run, which are the same on all machines; set by `chooseFreePorts`. */
export const PORTS = {}

async function isFree (host, port) {
  const probe = createServer()
  return await new Promise(resolve => {
    probe.once('error', () => { resolve(false) })
    probe.listen({ host, port }, () => { probe.close(() => { resolve(true) }) })
  })
}

/** Chooses ports in a row that nothing uses, below the range of outgoing connections. */
export async function chooseFreePorts (host) {
  const count = INTERNAL_PORT_COUNT + PORT_NAMES.length
  for (;;) {
    const first = randomInt(11_000, 32_000 - count)
    const free = await Promise.all(Array.from({ length: count }, async (_value, index) => await isFree(host, first + index)))
    if (!free.every(Boolean)) continue
    PORTS.internal = [first, first + INTERNAL_PORT_COUNT - 1]
    for (const [index, name] of PORT_NAMES.entries()) PORTS[name] = first + INTERNAL_PORT_COUNT + index
    return
  }
}

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
