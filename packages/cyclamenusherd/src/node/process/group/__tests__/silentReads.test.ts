import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupView } from '@cyclamenusher/decisions'
import { createSilentReads } from '../silentReads.js'
import type { GroupView, MemberView } from '@cyclamenusher/decisions'

const GRACE_MILLISECONDS = 1_000

function createView (reachable: Record<string, boolean>): GroupView {
  const members = Object.entries(reachable).map(([name, isReachable]) => [name, { reachable: isReachable } as unknown as MemberView] as const)
  return { ...createGroupView('main', 3), members: new Map(members) }
}

interface Fixture {
  /** Advances the clock and shows the watch which members are reachable. Returns how many reads were moved. */
  check: (milliseconds: number, reachable: Record<string, boolean>) => number
  addRead: (member: string, hasAlternative?: () => boolean) => () => void
}

function createFixture (): Fixture {
  let now = 0
  const reads = createSilentReads({ now: () => now })
  return {
    check: (milliseconds, reachable) => {
      now += milliseconds
      return reads.check(createView(reachable))
    },
    addRead: (member, hasAlternative = () => true) => reads.add(member, { hasAlternative, move: () => true })
  }
}

test('a read moves once the grace after the loss of its member is over', () => {
  const { check, addRead } = createFixture()
  check(0, { one: true, two: true })
  addRead('one')
  addRead('two')
  assert.is(check(10, { one: false, two: true }), 0)
  assert.is(check(GRACE_MILLISECONDS - 1, { one: false, two: true }), 0)
  assert.is(check(1, { one: false, two: true }), 1)
})

test('a read moves although its member answers again', () => {
  const { check, addRead } = createFixture()
  check(0, { one: true })
  addRead('one')
  check(0, { one: false })
  assert.is(check(100, { one: true }), 0)
  assert.is(check(GRACE_MILLISECONDS, { one: true }), 1)
})

test('a read that began after the loss stays', () => {
  const { check, addRead } = createFixture()
  check(0, { one: true })
  check(0, { one: false })
  check(100, { one: true })
  addRead('one')
  assert.is(check(GRACE_MILLISECONDS, { one: true }), 0)
})

test('a read stays while no member can run it, or once it is over', () => {
  const { check, addRead } = createFixture()
  let hasAlternative = false
  check(0, { one: true })
  addRead('one', () => hasAlternative)
  const end = addRead('one')
  end()
  check(0, { one: false })
  assert.is(check(GRACE_MILLISECONDS, { one: false }), 0)
  hasAlternative = true
  assert.is(check(1, { one: false }), 1)
})

test.run()
