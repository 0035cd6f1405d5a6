import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { decideAccess, findKeyLoss, reviewAccess } from '../access.js'
import { indexDeclaration } from '../declaration.js'
import type { ClientAccount, Route } from '../declaration.js'

const ROUTE: Route = { name: 'r', database: 'orders', prefix: '/', group: 'g', readPolicy: 'primary', statementMilliseconds: 1_000, priority: 1, open: false }
const ACCOUNT: ClientAccount = { name: 'clinic', keys: ['k'], ratePerSecond: 10, burst: 10 }
const ADMITTED = { database: 'orders', group: 'g', account: 'clinic' }

function index (route: Partial<Route> = {}) {
  return indexDeclaration({ version: 2, routes: [{ ...ROUTE, ...route }], groups: [], accounts: [ACCOUNT], idleTransactionMilliseconds: 1_000 })
}

function reasonOf (decision: { kind: string, reason?: string }): string {
  return decision.reason ?? decision.kind
}

test('access is granted by the route and the account of the key', () => {
  assert.equal(decideAccess(index(), 'orders', ACCOUNT), { kind: 'granted', route: ROUTE, account: ACCOUNT })
  assert.is(reasonOf(decideAccess(index(), 'stock', ACCOUNT)), 'database unknown')
  assert.is(reasonOf(decideAccess(index(), 'orders', undefined)), 'key refused')
  assert.is(decideAccess(index({ open: true }), 'orders', undefined).kind, 'granted')
})

test('an admitted operation stands after its access was withdrawn', () => {
  assert.is(reasonOf(reviewAccess(index(), ADMITTED, undefined)), 'key refused')
  assert.is(reasonOf(reviewAccess(index({ database: 'stock' }), ADMITTED, ACCOUNT)), 'database unknown')
})

test('an admitted operation runs where its route no longer leads', () => {
  assert.is(reviewAccess(index({ group: 'other' }), ADMITTED, ACCOUNT).kind, 'moved')
  assert.is(reviewAccess(index(), ADMITTED, { ...ACCOUNT, name: 'warehouse' }).kind, 'moved')
  assert.is(reviewAccess(index({ open: true }), { ...ADMITTED, account: undefined }, ACCOUNT).kind, 'moved')
})

test('an admitted operation runs with the limits of the older route', () => {
  const review = reviewAccess(index({ maximumStalenessMilliseconds: 500 }), ADMITTED, ACCOUNT)
  assert.is(review.kind === 'granted' ? review.route.maximumStalenessMilliseconds : undefined, 500)
})

test('a key goes on for its account after it was withdrawn or moved, or is lost with other changes', () => {
  assert.is(findKeyLoss('clinic', undefined), 'withdrawn')
  assert.is(findKeyLoss('clinic', { ...ACCOUNT, name: 'warehouse' }), 'moved')
  assert.is(findKeyLoss('clinic', { ...ACCOUNT, keys: ['k', 'other'] }), undefined)
  assert.is(findKeyLoss(undefined, undefined), undefined)
  assert.is(findKeyLoss(undefined, ACCOUNT), undefined)
})

test.run()
