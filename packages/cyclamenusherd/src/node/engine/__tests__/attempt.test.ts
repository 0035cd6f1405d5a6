import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { attemptStatement } from '../attempt.js'
import type { AcquiredConnection } from '../groupPool.js'
import type { LocalServices } from '../operations.js'
import type { Sendability } from '../groupDrain.js'
import type { StatementContext } from '../session.js'

const CODEC = {
  reset: () => 'RESET',
  set: (name: string, value: string) => `SET ${name} ${value}`,
  prepare: (name: string) => `PREPARE ${name}`,
  execute: (name: string) => `EXECUTE ${name}`
}

const CONTEXT = {
  deadline: 1_000,
  request: { id: 'r', text: 'EXECUTE p', statement: { kind: 'execute', name: 'p', parameters: [] } },
  session: { values: new Map([['a', '1']]), prepared: new Map([['p', { access: 'read', text: 'SELECT 1' }]]) }
} as unknown as StatementContext

// A drain that comes into force while the nth statement waits for its token.
for (const [order, expected] of [['SET', []], ['PREPARE', ['SET']], ['EXECUTE', ['SET', 'PREPARE']]] as const) {
  test(`${order} reaches a drained server after its wait for a token`, async () => {
    const sent: string[] = []
    const run = async (text: string): Promise<object> => {
      sent.push(text.split(' ')[0])
      return { kind: 'complete' }
    }
    let sendability: Sendability = 'yes'
    let waits = 0
    const acquired = {
      connection: { member: 'm', values: new Map(), prepared: new Set(), run: async (_id: string, text: string) => await run(text), isOpen: () => true, close: () => {} },
      sendability: () => sendability,
      admit: async () => {
        if (waits === expected.length) sendability = 'drained'
        waits += 1
        return true
      },
      recordAnswerTime: () => {},
      closeIdleSince: () => {}
    } as unknown as AcquiredConnection
    const services = { clock: { now: () => 0 }, codec: () => CODEC } as unknown as LocalServices
    const reply = await attemptStatement(services, acquired, CONTEXT, text => text, false)
    assert.equal([reply.kind, sent], ['not sent', [...expected]])
  })
}

test.run()
