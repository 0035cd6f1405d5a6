/** Clients of the wire. */

import { connect } from 'node:net'
import { createLineReader, splitWord } from './lines.js'

let lastId = 0

export function createId () {
  lastId += 1
  return `${Date.now().toString(16)}${lastId.toString(16).padStart(5, '0')}`
}

/**
 * Opens a session. Resolves with undefined if it was refused. `query` resolves with
 * { code, state }: `code` is COMPLETE, the code of a fault, CLOSED, or NONE if nothing came in time.
 */
export async function openSession ({ host, port, database, key }) {
  const socket = connect({ host, port, noDelay: true })
  const readLines = createLineReader()
  let waiting
  let end = ''
  let closed = false

  function finish (reply) {
    waiting?.(reply)
    waiting = undefined
  }

  socket.on('error', () => {})
  socket.on('close', () => {
    closed = true
    finish({ code: 'CLOSED', state: '' })
  })
  socket.on('data', chunk => {
    for (const line of readLines(chunk)) {
      const [word, rest] = splitWord(line)
      if (word === 'COMPLETE') end = 'COMPLETE'
      else if (word === 'FAULT') end = splitWord(rest)[0]
      else if (word === 'READY') {
        finish({ code: end, state: splitWord(rest)[0] })
        end = ''
      }
    }
  })

  async function exchange (text, milliseconds) {
    if (closed) return { code: 'CLOSED', state: '' }
    return await new Promise(resolve => {
      const timer = setTimeout(() => { finish({ code: 'NONE', state: '' }) }, milliseconds)
      waiting = reply => {
        clearTimeout(timer)
        resolve(reply)
      }
      socket.write(text, 'latin1')
    })
  }

  const { state } = await exchange(`STARTUP ${database} ${key}\r\n`, 2_000)
  if (state !== 'I') {
    socket.destroy()
    return undefined
  }
  return {
    query: async (text, id = createId(), milliseconds = 5_000) => ({ id, ...await exchange(`QUERY ${id} ${text}\r\n`, milliseconds) }),
    isClosed: () => closed,
    close: () => { socket.destroy() }
  }
}
