import { createHash } from 'node:crypto'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../../version/rulesStore.js'
import { createAdmission } from '../admission.js'
import type { Identity } from '../../version/rulesStore.js'

const LEASE = 3_000
const DIGEST = createHash('sha256').update('the key').digest('hex')
const RULES = [
  'accounts."clinic" = { rate = 10, burst = 10, weight = 1 } # asked for by Ana',
  `keys."one" = { account = "clinic", digest = "sha256:${DIGEST}" } # asked for by Ana`,
  'databases."padron" = { group = "padron", members = 3 } # asked for by Ana',
  'access."clinic-padron" = { account = "clinic", database = "padron", write = false, maximum_age_milliseconds = 0 } # asked for by Ana',
  'open."padron" = { database = "padron", maximum_age_milliseconds = 500, rate = 10, burst = 10 } # asked for by Ana'
]

interface Stage {
  admit: (identity?: Identity, need?: 'read' | 'write') => Promise<string>
  pass: (milliseconds: number) => void
  withdraw: () => void
  taken: string[]
  onTake: (action: () => boolean) => void
}

function createStage (): Stage {
  let now = 0
  const store = createRulesStore({ now: () => now }, LEASE)
  const tell = (number: number, removed: string[], added: string[]): unknown => store.update({ number, baseNumber: number - 1, removed, added, fresh: true, ageMilliseconds: 0, askedAt: now })
  tell(1, [], RULES)
  const identity = store.identify('clinic', 'the key') as Identity
  const taken: string[] = []
  let answer = (): boolean => true
  const { admit } = createAdmission({
    store,
    takeToken: async (kind, account) => {
      taken.push(`${kind} ${account}`)
      return answer()
    }
  })
  return {
    admit: async (given = identity, need = 'read') => await admit(given, 'padron', need).then(() => 'admitted', (error: { kind: string, runState: string }) => `${error.kind}, ${error.runState}`),
    pass: milliseconds => { now += milliseconds },
    withdraw: () => { tell(2, ['keys.one'], []) },
    taken,
    onTake: action => { answer = action }
  }
}

test('a valid key within its rate is admitted', async () => {
  const { admit, taken } = createStage()
  assert.is(await admit(), 'admitted')
  assert.equal(taken, ['keyed clinic'])
})

test('stale rules refuse keys and serve open routes', async () => {
  const { admit, pass } = createStage()
  pass(LEASE - 1)
  assert.is(await admit(), 'admitted')
  pass(1)
  assert.is(await admit(), 'rules not fresh, not run')
  assert.is(await admit({ account: 'open' }), 'admitted')
})

test('a withdrawn key takes no token', async () => {
  const { admit, withdraw, taken } = createStage()
  withdraw()
  assert.is(await admit(), 'key refused, not run')
  assert.equal(taken, [])
})

test('a key withdrawn while its request waits for a token is refused', async () => {
  const { admit, withdraw, onTake } = createStage()
  onTake(() => {
    withdraw()
    return true
  })
  assert.is(await admit(), 'key refused, not run')
})

test('rules that go stale while a request waits refuse it', async () => {
  const { admit, pass, onTake } = createStage()
  onTake(() => {
    pass(LEASE)
    return true
  })
  assert.is(await admit(), 'rules not fresh, not run')
})

test('an account over its rate is refused as not run', async () => {
  const { admit, onTake } = createStage()
  onTake(() => false)
  assert.is(await admit(), 'rate exceeded, not run')
})

test('access is checked before a token is taken', async () => {
  const { admit, taken } = createStage()
  assert.is(await admit(undefined, 'write'), 'access denied, not run')
  assert.is(await admit({ account: 'open' }, 'write'), 'access denied, not run')
  assert.equal(taken, [])
})

test.run()
