import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { INITIAL_FLEET_STATE, LEASE_MILLISECONDS, NO_TOLERANCE, SHARE_VALIDITY_MILLISECONDS, applyFleetCommand, decodeFleetState, encodeFleetState } from '@cyclamenusher/decisions'
import { createRandom } from '@cyclamenusher/decisions/model'
import { createEntryLeases } from '../entryLeases.js'
import { createShareRecord } from '../shareRecord.js'
import type { ClientAccount, FleetState, RenewRequest } from '@cyclamenusher/decisions'

const PLAN_MILLISECONDS = 500
const FAILURE_DOMAINS = 5

/** Accounts for which all instances are lenders, a few are, and each failure domain has one. */
const ACCOUNTS: ClientAccount[] = [20_000, 60, 5].map(ratePerSecond => ({ name: `account-${ratePerSecond}`, keys: [], ratePerSecond, burst: 20_000 }))

interface Instance {
  name: string
  incarnation: number
  failureDomain: string
  demand: Record<string, number>
  shares: Map<string, number>
  /** Until when the instance spends its shares without control. */
  sharesUntil: number
  /** Whether it reaches control. */
  present: boolean
  knownTerm: number
  appliedChange: number
  /** How long the instance uses its shares, in milliseconds; undefined: it is of the previous build, and states nothing. */
  use?: number
}

/** Entry instances and leaders of control that follow each other, in virtual time: what is written to the log is there at once. */
function createShareFleet (count: number, use?: number) {
  let now = 0
  let term = 0
  let change = 0
  let written = 0
  let state: FleetState = INITIAL_FLEET_STATE
  /** Whether the leader is of the previous build, which knows no use of shares. */
  let isPrevious = false
  let leases = createEntryLeases(NO_TOLERANCE, now)
  let record = startRecord()

  function startRecord (): ReturnType<typeof createShareRecord> {
    return createShareRecord({
      term,
      state: () => isPrevious ? { ...state, shareUse: undefined } : state,
      startedAt: now,
      confirmState: async () => true,
      write: async shares => {
        const { use: shareUse, ...previous } = shares
        // A leader of the previous build writes only what it knows.
        if (isPrevious && shares.added.length + shares.removed.length + shares.bounds.length === 0) return true
        const command = JSON.stringify({ kind: 'remember', servers: [], entries: count, shares: isPrevious ? previous : { ...previous, use: shareUse } })
        written += command.length
        state = applyFleetCommand(state, JSON.parse(command)).state
        return true
      },
      onWritten: () => {}
    })
  }

  const instances = Array.from({ length: count }, (_value, index): Instance => ({
    name: `entry-${index}`, incarnation: 1, failureDomain: `domain-${index % FAILURE_DOMAINS}`, demand: {}, shares: new Map(), sharesUntil: -Infinity, present: true, knownTerm: 0, appliedChange: 0, use
  }))

  async function renewAll (): Promise<void> {
    for (const [index, instance] of instances.entries()) {
      if (!instance.present) continue
      const { name, incarnation, failureDomain, demand, knownTerm } = instance
      const shareMilliseconds = isPrevious ? undefined : instance.use
      // An instance of the previous build reports shares also after their time.
      const shares = instance.use === undefined || now < instance.sharesUntil ? instance.shares : []
      const isKnown = knownTerm === term
      const request: RenewRequest = { name, incarnation: String(incarnation), failureDomain, lendsAt: { host: 'entry', port: index + 1 }, knows: { term: knownTerm, change: 0 }, version: 1, demand, sightings: {}, busy: [], holdMilliseconds: 0, shareMilliseconds, ...(isKnown ? {} : { parts: Object.fromEntries(shares) }) }
      const isNew = leases.renew(request, isKnown ? instance.appliedChange : 0, now)
      if (!record.isRecorded(name, shareMilliseconds) || (isNew && record.isUseLonger(name, shareMilliseconds))) record.add(name, shareMilliseconds)
    }
    while (!record.isCurrent()) {
      record.write(leases, now)
      await new Promise(resolve => { setImmediate(resolve) })
    }
    record.write(leases, now)
    await new Promise(resolve => { setImmediate(resolve) })
    for (const instance of instances) {
      if (!instance.present || !record.isRecorded(instance.name, isPrevious ? undefined : instance.use)) continue
      leases.grant(instance.name, now)
      Object.assign(instance, { knownTerm: term, appliedChange: change, shares: new Map(Object.entries(leases.sharesOf(instance.name).shares)), sharesUntil: now + (instance.use ?? SHARE_VALIDITY_MILLISECONDS) })
    }
  }

  async function plan (): Promise<void> {
    const recordChange = (): number => {
      change += 1
      return change
    }
    const options = { limits: record.limits(leases, leases.countRenewing(now), now) }
    leases.previewShares(ACCOUNTS, now, options)
    record.write(leases, now)
    await new Promise(resolve => { setImmediate(resolve) })
    leases.planShares(ACCOUNTS, recordChange, now, options)
  }

  const fleet = {
    instances,
    /** Bytes written to the log. */
    written: () => written,
    /** The part of an account's rate that all instances together may spend. */
    sumShares: (account: string, counts: (instance: Instance) => boolean = () => true) => instances
      .filter(instance => counts(instance) && now < instance.sharesUntil)
      .reduce((sum, { shares }) => sum + (shares.get(account) ?? 0), 0),
    /** Runs for a time; `check` is called after each renewal and plan. */
    run: async (milliseconds: number, check: () => void = () => {}) => {
      for (const until = now + milliseconds; now < until; now += PLAN_MILLISECONDS) {
        await renewAll()
        check()
        await plan()
        check()
      }
    },
    changeLeader: ({ terms = 1, previous = false } = {}) => {
      term += terms
      isPrevious = previous
      change = 0
      state = decodeFleetState(encodeFleetState(state))
      leases = createEntryLeases(NO_TOLERANCE, now)
      record = startRecord()
    },
    /** Has the log hold what a leader of an earlier build writes. */
    forgetHolders: () => { state = applyFleetCommand(state, { kind: 'remember', servers: [], entries: count }).state },
    restart: (instance: Instance, newUse = instance.use) => { Object.assign(instance, { use: newUse, incarnation: instance.incarnation + 1, shares: new Map(), knownTerm: 0, appliedChange: 0, sharesUntil: -Infinity }) }
  }
  fleet.changeLeader()
  return fleet
}

type ShareFleet = ReturnType<typeof createShareFleet>

function checkSums (fleet: ShareFleet): void {
  for (const { name } of ACCOUNTS) {
    const sum = fleet.sumShares(name)
    assert.ok(sum <= 1 + 1e-9, `${sum} of the rate of ${name} is held`)
  }
}

/** A tenth of the instances holds most of each account. */
async function settle (fleet: ShareFleet): Promise<Instance[]> {
  const few = fleet.instances.filter((_instance, index) => index % 10 === 0)
  for (const instance of few) instance.demand = Object.fromEntries(ACCOUNTS.map(({ name }) => [name, 100]))
  await fleet.run(4_000, () => { checkSums(fleet) })
  return few
}

for (const count of [9, 71, 195, 1_000]) {
  // A frozen instance woke and spent a share that a new leader had given to others as well.
  test(`what missing instances hold is granted again by a new leader of ${count} instances`, async () => {
    const fleet = createShareFleet(count)
    const few = await settle(fleet)
    for (const instance of few) instance.present = false
    await fleet.run(LEASE_MILLISECONDS, () => { checkSums(fleet) })
    fleet.changeLeader()
    for (const instance of fleet.instances) instance.demand = Object.fromEntries(ACCOUNTS.map(({ name }) => [name, few.includes(instance) ? 0 : 10]))
    await fleet.run(3_000, () => { checkSums(fleet) })
    fleet.changeLeader()
    await fleet.run(5_000, () => { checkSums(fleet) })
    for (const instance of few) instance.present = true
    await fleet.run(5_000, () => { checkSums(fleet) })
    for (const { name } of ACCOUNTS) assert.ok(fleet.sumShares(name) > 0.95, 'all of it is granted again once all are back')
  })

  test(`a share is held back for good after ${count} instances did not all return`, async () => {
    const fleet = createShareFleet(count)
    const few = await settle(fleet)
    for (const instance of few) instance.present = false
    fleet.changeLeader()
    await fleet.run(SHARE_VALIDITY_MILLISECONDS + 3 * PLAN_MILLISECONDS, () => { checkSums(fleet) })
    for (const { name } of ACCOUNTS) assert.ok(fleet.sumShares(name, ({ present }) => present) > 0.95)
  })

  // Nobody holds anything after a loss of power, and nobody reports that.
  test(`work is refused after a loss of power of ${count} instances`, async () => {
    const fleet = createShareFleet(count)
    await settle(fleet)
    const missing = fleet.instances.filter((_instance, index) => index % 10 === 1)
    const lenders = new Map(ACCOUNTS.map(({ name }) => [name, fleet.instances.filter(({ shares }) => (shares.get(name) ?? 0) > 0)]))
    for (const instance of fleet.instances) {
      fleet.restart(instance)
      instance.demand = {}
      if (missing.includes(instance)) instance.present = false
    }
    fleet.changeLeader()
    await fleet.run(2 * PLAN_MILLISECONDS)
    for (const { name } of ACCOUNTS) {
      const held = fleet.sumShares(name)
      const lendersOfAccount = lenders.get(name) ?? []
      const missingPart = lendersOfAccount.filter(instance => missing.includes(instance)).length / lendersOfAccount.length
      assert.ok(held >= 1 - 2 * missingPart - 0.02, `${held} of the rate of ${name} is granted while lenders of ${missingPart} of it are missing`)
    }
    for (const instance of missing) instance.present = true
    await fleet.run(2_000)
    for (const { name } of ACCOUNTS) assert.ok(fleet.sumShares(name) > 0.95)
  })

  test(`bounds are written again and again at ${count} instances`, async () => {
    const fleet = createShareFleet(count)
    await settle(fleet)
    const before = fleet.written()
    for (let round = 0; round < 20; round += 1) {
      for (const [index, instance] of fleet.instances.entries()) instance.demand = Object.fromEntries(ACCOUNTS.map(({ name }) => [name, index % 10 === 0 ? 80 + (index + round) % 3 * 20 : 0]))
      await fleet.run(PLAN_MILLISECONDS)
    }
    assert.is(fleet.written(), before)
  })
}

/** Time until the present instances hold nearly all of each account again, in milliseconds. */
async function measureReturn (fleet: ShareFleet): Promise<number> {
  let milliseconds = 0
  while (ACCOUNTS.some(({ name }) => fleet.sumShares(name, ({ present }) => present) <= 0.95) && milliseconds < 20_000) {
    await fleet.run(PLAN_MILLISECONDS, () => { checkSums(fleet) })
    milliseconds += PLAN_MILLISECONDS
  }
  return milliseconds
}

// Instances that were cut off refused all operations, and the others lacked their shares for 12 s.
test('the shares of instances that are cut off are out of use for longer than their declarations are trusted', async () => {
  const fleet = createShareFleet(71, 3_000)
  const few = await settle(fleet)
  for (const instance of few) instance.present = false
  assert.ok(await measureReturn(fleet) <= 3_000 + 3 * PLAN_MILLISECONDS)
})

test('a new leader holds such shares back for longer than that', async () => {
  const fleet = createShareFleet(71, 3_000)
  const few = await settle(fleet)
  for (const instance of few) instance.present = false
  fleet.changeLeader()
  assert.ok(await measureReturn(fleet) <= 3_000 + 3 * PLAN_MILLISECONDS)
})

// An instance that came back reported shares that had been granted to others meanwhile.
test('shares that are reported after their time count', async () => {
  for (const use of [3_000, undefined]) {
    const fleet = createShareFleet(9, use)
    const few = await settle(fleet)
    for (const instance of few) instance.present = false
    fleet.changeLeader()
    await measureReturn(fleet)
    for (const instance of few) instance.present = true
    await fleet.run(4_000, () => { checkSums(fleet) })
  }
})

// The log said how long a process of this build uses its shares, and one of the previous build had taken its place.
for (const [description, leaders] of Object.entries({
  'the present leader': [{}],
  'another leader': [{}, {}],
  'a leader of the previous build': [{ previous: true }, {}],
  'a leader of the previous build, and one of which nothing is known': [{ previous: true }, { terms: 3 }]
})) {
  test(`the shares of an instance that was downgraded at ${description} are granted early`, async () => {
    const fleet = createShareFleet(9, 3_000)
    const [downgraded] = await settle(fleet)
    const [first, ...others] = leaders
    fleet.changeLeader(first)
    await fleet.run(2_000, () => { checkSums(fleet) })
    fleet.restart(downgraded)
    downgraded.use = undefined
    await fleet.run(2_000, () => { checkSums(fleet) })
    assert.ok(ACCOUNTS.some(({ name }) => (downgraded.shares.get(name) ?? 0) > 0.1))
    downgraded.present = false
    for (const leader of others) fleet.changeLeader(leader)
    await fleet.run(SHARE_VALIDITY_MILLISECONDS + 2_000, () => { checkSums(fleet) })
    for (const { name } of ACCOUNTS) assert.ok(fleet.sumShares(name) > 0.95)
  })
}

for (const seed of [1, 2, 3, 4, 5, 6]) {
  test(`history ${seed} of cuts, restarts and leaders of both builds grants a share twice`, async () => {
    const random = createRandom(seed)
    const fleet = createShareFleet(9, 3_000)
    const choose = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]
    for (let step = 0; step < 150; step += 1) {
      const instance = choose(fleet.instances)
      const events = [
        () => { instance.present = !instance.present },
        () => { instance.present = true },
        () => { fleet.restart(instance, choose([undefined, 3_000, 4_000, 1_000])) },
        () => { fleet.changeLeader({ terms: choose([1, 1, 1, 2]), previous: random() < 0.3 }) },
        () => { instance.demand = Object.fromEntries(ACCOUNTS.map(({ name }) => [name, 200 * random()])) }
      ]
      choose(events)()
      await fleet.run(choose([1, 1, 2, 4, 8]) * PLAN_MILLISECONDS, () => { checkSums(fleet) })
    }
  })
}

test('what a leader of an earlier build granted is granted again', async () => {
  const fleet = createShareFleet(9)
  await settle(fleet)
  fleet.instances[0].present = false
  fleet.forgetHolders()
  fleet.changeLeader()
  await fleet.run(5_000, () => { checkSums(fleet) })
})

test.run()
