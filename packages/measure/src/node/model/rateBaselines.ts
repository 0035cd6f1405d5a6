/** Simple ways to split rate and burst over instances, for comparison with the product. */

import { refillBucket, takeFromBucket } from '@cyclamenusher/decisions'
import type { Bucket, BucketLimits } from '@cyclamenusher/decisions'
import type { Timeline } from './timeline.js'
import type { ModelNetwork, ModelInstance, RateFleet } from './rateFleet.js'

export interface BaselineOptions {
  timeline: Timeline
  entries: readonly ModelInstance[]
  network: ModelNetwork
  limits: ReadonlyMap<string, BucketLimits>
  /** Time that a request may wait for a token, in milliseconds. */
  waitMilliseconds: number
  onVerdict: (ticket: number, verdict: 'admit' | 'refuse') => void
}

/** Gives each instance an equal share of rate and burst; a restarted instance has its full burst again. */
export function createStaticShares ({ timeline, entries, limits, onVerdict }: BaselineOptions): RateFleet {
  const buckets = new Map<string, Bucket>()
  const up = new Map(entries.map(({ name }) => [name, true]))
  return {
    requestToken: (entry, account, ticket) => {
      if (up.get(entry) !== true) return 'down'
      const accountLimits = limits.get(account) ?? { rate: 0, burst: 0 }
      const share = { rate: accountLimits.rate / entries.length, burst: Math.max(1, accountLimits.burst / entries.length) }
      const key = `${entry} ${account}`
      const result = takeFromBucket(buckets.get(key) ?? { tokens: share.burst, refilledAt: timeline.now() }, share, timeline.now())
      buckets.set(key, result.bucket)
      onVerdict(ticket, result.taken ? 'admit' : 'refuse')
      return 'taken'
    },
    restartEntry: (entry, milliseconds) => {
      up.set(entry, false)
      for (const account of limits.keys()) buckets.delete(`${entry} ${account}`)
      timeline.after(milliseconds, () => { up.set(entry, true) })
    },
    replaceEntry: () => {},
    restartVoter: () => {},
    setView: () => {},
    messageCount: () => 0
  }
}

/** Keeps every bucket at one instance, to which a message is sent for each request; its buckets are lost when it restarts. */
export function createCentralBucket ({ timeline, entries, network, limits, waitMilliseconds, onVerdict }: BaselineOptions): RateFleet {
  const centralInstance = entries[0]
  let buckets = new Map<string, Bucket>()
  const up = new Map(entries.map(({ name }) => [name, true]))
  let messageCount = 0

  function takeToken (account: string): boolean {
    const accountLimits = limits.get(account) ?? { rate: 0, burst: 0 }
    const current = buckets.get(account) ?? { tokens: accountLimits.burst, refilledAt: timeline.now() }
    const result = takeFromBucket(refillBucket(current, accountLimits, timeline.now()), accountLimits, timeline.now())
    buckets.set(account, result.bucket)
    return result.taken
  }

  return {
    requestToken: (entry, account, ticket) => {
      const instance = entries.find(({ name }) => name === entry)
      if (instance === undefined || up.get(entry) !== true) return 'down'
      let pending = true
      const resolveRequest = (verdict: 'admit' | 'refuse'): void => {
        if (pending) onVerdict(ticket, verdict)
        pending = false
      }
      timeline.after(waitMilliseconds, () => { resolveRequest('refuse') })
      messageCount += 2
      for (const delay of network(instance, centralInstance)) {
        timeline.after(delay, () => {
          if (up.get(centralInstance.name) !== true) return
          const verdict = takeToken(account) ? 'admit' : 'refuse'
          for (const returnDelay of network(centralInstance, instance)) timeline.after(returnDelay, () => { resolveRequest(verdict) })
        })
      }
      return 'taken'
    },
    restartEntry: (entry, milliseconds) => {
      up.set(entry, false)
      if (entry === centralInstance.name) buckets = new Map()
      timeline.after(milliseconds, () => { up.set(entry, true) })
    },
    replaceEntry: () => {},
    restartVoter: () => {},
    setView: () => {},
    messageCount: () => messageCount
  }
}
