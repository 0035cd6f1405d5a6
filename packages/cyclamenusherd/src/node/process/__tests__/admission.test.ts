import { createHash } from 'node:crypto'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRulesStore } from '../../version/rulesStore.js'
import { createAdmission } from '../admission.js'
import type { Identity } from '../../version/rulesStore.js'

const LEASE_MILLISECONDS = 3_000
const OPEN_AGE_MILLISECONDS = 500
const DIGEST = createHash('sha256').update('the key').digest('hex')
const RULES = [
  'accounts."clinic" = { rate = 10, burst = 10, weight = 1 } # asked for by Ana',
  `keys."one" = { account = "clinic", digest = "sha256:${DIGEST}" } # asked for by Ana`,
  'databases."padron" = { group = "padron", members = 3 } # asked for by Ana',
  'access."clinic-padron" = { account = "clinic", database = "padron", write = false, maximum_age_milliseconds = 0 } # asked for by Ana',
  `open."padron" = { database = "padron", maximum_age_milliseconds = ${OPEN_AGE_MILLISECONDS}, rate = 10, burst = 10 } # asked for by Ana`
]

interface Fixture {
  admit: (identity?: Identity, need?: 'read' | 'write', database?: string) => Promise<string>
  advance: (milliseconds: number) => void
  withdrawKey: () => void
  takenTokens: string[]
  onTake: (action: () => boolean) => void
}

function createFixture (): Fixture {
  let now = 0
  const store = createRulesStore({ now: () => now }, LEASE_MILLISECONDS, () => now)
  const updateRules = (number: number, removed: string[], added: string[]): unknown => store.update({ number, baseNumber: number - 1, removed, added, fresh: true, ageMilliseconds: 0, askedAt: now })
  updateRules(1, [], RULES)
  const identity = store.identify('clinic', 'the key') as Identity
  const takenTokens: string[] = []
  let takeToken = (): boolean => true
  const { admit } = createAdmission({
    store,
    takeToken: async (kind, account) => {
      takenTokens.push(`${kind} ${account}`)
      return takeToken()
    }
  })
  return {
    admit: async (given = identity, need = 'read', database = 'padron') => await admit(given, database, need).then(() => 'admitted', (error: { kind: string, runState: string }) => `${error.kind}, ${error.runState}`),
    advance: milliseconds => { now += milliseconds },
    withdrawKey: () => { updateRules(2, ['keys.one'], []) },
    takenTokens,
    onTake: action => { takeToken = action }
  }
}

test('a valid key within its rate is admitted', async () => {
  const { admit, takenTokens } = createFixture()
  assert.is(await admit(), 'admitted')
  assert.equal(takenTokens, ['keyed clinic'])
})

test('with stale rules keys are refused and open routes are served', async () => {
  const { admit, advance } = createFixture()
  advance(LEASE_MILLISECONDS - 1)
  assert.is(await admit(), 'admitted')
  advance(1)
  assert.is(await admit(), 'rules not fresh, not run')
  assert.is(await admit({ account: 'open' }), 'admitted')
})

// An isolated instance served a route without end that newer rules may have closed.
test('with stale rules an open route ends once its stated age has passed', async () => {
  const { admit, advance } = createFixture()
  advance(LEASE_MILLISECONDS + OPEN_AGE_MILLISECONDS - 1)
  assert.is(await admit({ account: 'open' }), 'admitted')
  advance(1)
  assert.is(await admit({ account: 'open' }), 'rules not fresh, not run')
})

// An isolated instance refused for good what newer rules may have opened.
test('with stale rules a database is refused as not open to all', async () => {
  const { admit, advance } = createFixture()
  assert.is(await admit({ account: 'open' }, 'read', 'added'), 'access denied, not run')
  advance(LEASE_MILLISECONDS)
  assert.is(await admit({ account: 'open' }, 'read', 'added'), 'rules not fresh, not run')
})

test('a withdrawn key takes no token', async () => {
  const { admit, withdrawKey, takenTokens } = createFixture()
  withdrawKey()
  assert.is(await admit(), 'key refused, not run')
  assert.equal(takenTokens, [])
})

test('a key withdrawn while its request waits for a token is refused', async () => {
  const { admit, withdrawKey, onTake } = createFixture()
  onTake(() => {
    withdrawKey()
    return true
  })
  assert.is(await admit(), 'key refused, not run')
})

test('a request is refused if the rules go stale while it waits', async () => {
  const { admit, advance, onTake } = createFixture()
  onTake(() => {
    advance(LEASE_MILLISECONDS)
    return true
  })
  assert.is(await admit(), 'rules not fresh, not run')
})

test('an account over its rate is refused as not run', async () => {
  const { admit, onTake } = createFixture()
  onTake(() => false)
  assert.is(await admit(), 'rate exceeded, not run')
})

test('a request without access takes no token', async () => {
  const { admit, takenTokens } = createFixture()
  assert.is(await admit(undefined, 'write'), 'access denied, not run')
  assert.is(await admit({ account: 'open' }, 'write'), 'access denied, not run')
  assert.equal(takenTokens, [])
})

test.run()
