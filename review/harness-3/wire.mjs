/** The line protocol of clients and servers, and HTTP calls, for the stand-ins. */

import { connect } from 'node:net'
import { request } from 'node:http'

export const pause = async milliseconds => { await new Promise(resolve => { setTimeout(resolve, milliseconds) }) }

export function splitFirstWord (text) {
  const index = text.indexOf(' ')
  return index === -1 ? [text, ''] : [text.slice(0, index), text.slice(index + 1)]
}

/** Returns a function that takes bytes and returns the lines that are complete. */
export function createLineReader () {
  let rest = ''
  return chunk => {
    const lines = (rest + chunk.toString('latin1')).split('\r\n')
    rest = lines.pop()
    return lines
  }
}

/**
 * Opens a client's session. Resolves once the server has answered `STARTUP`. Each reply
 * is `{ rows, digest, fault, text, state, position }`; after the end of the connection it
 * is `{ closed: true }`.
 */
export async function openSession ({ host, port }, database, key, { onClose = () => {} } = {}) {
  const socket = connect({ host, port, noDelay: true })
  const readLines = createLineReader()
  const replies = []
  const waiting = []
  let current = { rows: [] }
  let closed = false
  const deliver = reply => {
    const next = waiting.shift()
    if (next === undefined) replies.push(reply)
    else next(reply)
  }
  const end = () => {
    if (closed) return
    closed = true
    onClose()
    if (current.fault !== undefined) deliver({ ...current, closed: true })
    for (const next of waiting.splice(0)) next({ rows: [], closed: true })
  }
  socket.on('data', chunk => {
    for (const line of readLines(chunk)) {
      const [word, rest] = splitFirstWord(line)
      if (word === 'DATAROW') current.rows.push(rest)
      else if (word === 'COMPLETE') current.digest = rest
      else if (word === 'FAULT') [current.fault, current.text] = splitFirstWord(rest)
      else if (word === 'READY') {
        const [state, position] = splitFirstWord(rest)
        const reply = { ...current, state, position }
        current = { rows: [] }
        deliver(reply)
      }
    }
  })
  socket.on('error', () => {})
  socket.on('close', end)
  const next = async () => replies.shift() ?? (closed ? { rows: [], closed: true } : await new Promise(resolve => { waiting.push(resolve) }))
  const send = line => { socket.write(`${line}\r\n`, 'latin1') }
  send(`STARTUP ${database} ${key}`)
  const start = await next()
  return {
    start,
    send,
    next,
    socket,
    isClosed: () => closed,
    close: () => { socket.destroy() },
    query: async (id, text, milliseconds = 10_000) => {
      send(`QUERY ${id} ${text}`)
      return await Promise.race([next(), pause(milliseconds).then(() => ({ rows: [], late: true }))])
    }
  }
}

/** Makes one HTTP call. Resolves with the status, or 0 where there was no answer in time. */
export async function callHttp ({ host, port }, method, path, body, milliseconds = 1_000) {
  return await new Promise(resolve => {
    const text = body === undefined ? undefined : JSON.stringify(body)
    const headers = { connection: 'close', ...(text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }) }
    const call = request({ host, port, method, path, headers, agent: false }, response => {
      let received = ''
      response.on('data', chunk => { received += chunk })
      response.on('end', () => { finish({ status: response.statusCode, text: received }) })
      response.on('error', () => { finish({ status: 0, text: '' }) })
    })
    const timer = setTimeout(() => {
      finish({ status: 0, text: '' })
      call.destroy()
    }, milliseconds)
    function finish (outcome) {
      clearTimeout(timer)
      resolve(outcome)
    }
    call.on('error', () => { finish({ status: 0, text: '' }) })
    call.end(text)
  })
}
