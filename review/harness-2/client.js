/** A stand-in for a client: one session on the wire. */

import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { PORTS, createLines, splitWord } from './network.js'

const ANSWER_TIMEOUT_MILLISECONDS = 6_000

export function createStatementId () {
  return randomBytes(8).toString('hex')
}

/** Opens a session. @throws Error if the system refuses it or does not answer */
export async function openSession ({ host, port = PORTS.client }, database, key) {
  const socket = connect({ host, port, noDelay: true })
  let pending
  let rows = []
  let outcome
  const session = { isOpen: true, state: 'I' }

  function settle (answer) {
    const finish = pending
    pending = undefined
    rows = []
    outcome = undefined
    finish?.(answer)
  }

  function onLine (line) {
    const [word, rest] = splitWord(line)
    if (word === 'DATAROW') rows.push(rest)
    else if (word === 'COMPLETE') outcome = { kind: 'complete', digest: rest }
    else if (word === 'FAULT') {
      const [code, text] = splitWord(rest)
      outcome = { kind: 'fault', code, text }
    } else if (word === 'READY') {
      const [state, position] = splitWord(rest)
      session.state = state
      settle({ ...(outcome ?? { kind: 'ready' }), rows, position })
    }
  }

  socket.on('data', createLines(onLine))
  socket.on('error', () => {})
  socket.on('close', () => {
    session.isOpen = false
    settle(outcome?.kind === 'fault' ? outcome : { kind: 'closed' })
  })

  async function exchange (text, timeout = ANSWER_TIMEOUT_MILLISECONDS) {
    if (!session.isOpen) return { kind: 'closed' }
    return await new Promise(resolve => {
      const timer = setTimeout(() => { settle({ kind: 'no answer' }) }, timeout)
      pending = answer => {
        clearTimeout(timer)
        resolve(answer)
      }
      socket.write(text, 'latin1')
    })
  }

  session.close = () => {
    session.isOpen = false
    socket.destroy()
  }
  /** Sends one statement and resolves with its answer. */
  session.run = async (text, id = createStatementId()) => {
    const sentAt = performance.now()
    const answer = await exchange(`QUERY ${id} ${text}\r\n`)
    return { ...answer, id, sentAt, answeredAt: performance.now() }
  }
  const started = await exchange(`STARTUP ${database} ${key}\r\n`, 2_000)
  if (started.kind !== 'ready') {
    session.close()
    throw new Error(`the session was not opened: ${started.kind} ${started.code ?? ''} ${started.text ?? ''}`)
  }
  return session
}
