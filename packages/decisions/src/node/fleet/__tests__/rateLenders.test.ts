import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseLenders, countLenders, findLender, listNearLenders } from '../rateLenders.js'
import { NO_TOLERANCE, computeShareLimits } from '../rateShares.js'
import type { LenderCandidate } from '../rateLenders.js'

const DOMAINS = ['a', 'b', 'c']

function createCandidates (count: number): LenderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({ name: `entry-${index}`, failureDomain: DOMAINS[index % DOMAINS.length] }))
}

// An even share of a small account's burst held less than one operation, and admitted none.
test('a share holds less than an operation', () => {
  for (const instances of [9, 30, 71, 200, 3_888]) {
    for (const rate of [5, 10, 100, 1_000]) {
      const count = countLenders({ rate, burst: rate }, NO_TOLERANCE, createCandidates(instances))
      assert.ok(computeShareLimits({ rate, burst: rate }, 1 / count, NO_TOLERANCE).burst >= 1, `${rate} over ${count} of ${instances}`)
    }
  }
})

test('an account has as many lenders as its rate needs, however many instances there are', () => {
  const counts = [71, 200, 3_888].map(instances => countLenders({ rate: 60, burst: 60 }, NO_TOLERANCE, createCandidates(instances)))
  assert.equal(counts, [12, 12, 12])
})

test('an account has no more lenders than there are instances', () => {
  assert.is(countLenders({ rate: 1_000, burst: 1_000 }, NO_TOLERANCE, createCandidates(9)), 9)
})

test('the smallest account has a lender', () => {
  assert.is(countLenders({ rate: 0.1, burst: 0 }, NO_TOLERANCE, createCandidates(71)), 1)
})

test('lenders stand in different failure domains', () => {
  const candidates = createCandidates(30)
  const domains = chooseLenders('clinic', candidates, 3).map(name => candidates.find(candidate => candidate.name === name)?.failureDomain)
  assert.equal(domains.sort(), DOMAINS)
})

test('a lost instance moves only the accounts that it lends', () => {
  const candidates = createCandidates(30)
  const [lost, ...others] = chooseLenders('clinic', candidates, 3)
  const after = chooseLenders('clinic', candidates.filter(({ name }) => name !== lost), 3)
  assert.ok(others.every(name => after.includes(name)))
})

function borrowFrom (borrower: LenderCandidate, lenders: readonly LenderCandidate[]): LenderCandidate | undefined {
  return findLender('clinic', borrower.name, listNearLenders(borrower.failureDomain, lenders))
}

test('an instance borrows in its own failure domain where it can, and lends to itself', () => {
  const candidates = createCandidates(9)
  const lenders = candidates.slice(0, 2)
  assert.is(borrowFrom(candidates[3], lenders)?.name, 'entry-0')
  assert.ok(lenders.includes(borrowFrom(candidates[2], lenders) as LenderCandidate))
  assert.is(borrowFrom(candidates[1], lenders), undefined)
})

test('the borrowers of an account spread over its lenders', () => {
  const candidates = createCandidates(200)
  const lenders = candidates.slice(0, 12)
  const borrowers = new Map<string, number>()
  for (const candidate of candidates.slice(12)) {
    const name = borrowFrom(candidate, lenders)?.name ?? ''
    borrowers.set(name, (borrowers.get(name) ?? 0) + 1)
  }
  assert.is(borrowers.size, 12)
})

test.run()
