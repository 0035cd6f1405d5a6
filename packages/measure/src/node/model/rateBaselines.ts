/** Simple ways to split rate and burst over instances, to compare the product with. */

import { refillBucket, takeFromBucket } from '@cyclamenusher/decisions'
import type { Bucket, BucketLimits } from '@cyclamenusher/decisions'
import type { Timeline } from './timeline.js'
import type { ModelNetwork, ModelPlace, RateFleet } from './rateFleet.js'

export interface BaselineOptions {
  timeline: Timeline
  entries: readonly ModelPlace[]
  network: ModelNetwork
  limits: ReadonlyMap<string, BucketLimits>
  /** How long a request may wait for a token, in milliseconds. */
  waitMilliseconds: number
  onVerdict: (ticket: number, verdict: 'admit' | 'refuse') => void
}

/** Each instance has an equal share, and a fresh burst when it starts. */
export function createStaticShares ({ timeline, entries, limits, onVerdict }: BaselineOptions): RateFleet {
  const buckets = new Map<string, Bucket>()
  const up = new Map(entries.map(({ name }) => [name, true]))
  return {
    arrive: (entry, account, ticket) => {
      if (up.get(entry) !== true) return 'down'
      const whole = limits.get(account) ?? { rate: 0, burst: 0 }
      const share = { rate: whole.rate / entries.length, burst: Math.max(1, whole.burst / entries.length) }
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
    messages: () => 0
  }
}

/** One instance holds every bucket and is asked for each request; it forgets them when it restarts. */
export function createCentralBucket ({ timeline, entries, network, limits, waitMilliseconds, onVerdict }: BaselineOptions): RateFleet {
  const center = entries[0]
  let buckets = new Map<string, Bucket>()
  const up = new Map(entries.map(({ name }) => [name, true]))
  let messages = 0

  function judge (account: string): boolean {
    const whole = limits.get(account) ?? { rate: 0, burst: 0 }
    const known = buckets.get(account) ?? { tokens: whole.burst, refilledAt: timeline.now() }
    const result = takeFromBucket(refillBucket(known, whole, timeline.now()), whole, timeline.now())
    buckets.set(account, result.bucket)
    return result.taken
  }

  return {
    arrive: (entry, account, ticket) => {
      const place = entries.find(({ name }) => name === entry)
      if (place === undefined || up.get(entry) !== true) return 'down'
      let open = true
      const settle = (verdict: 'admit' | 'refuse'): void => {
        if (open) onVerdict(ticket, verdict)
        open = false
      }
      timeline.after(waitMilliseconds, () => { settle('refuse') })
      messages += 2
      for (const delay of network(place, center)) {
        timeline.after(delay, () => {
          if (up.get(center.name) !== true) return
          const verdict = judge(account) ? 'admit' : 'refuse'
          for (const back of network(center, place)) timeline.after(back, () => { settle(verdict) })
        })
      }
      return 'taken'
    },
    restartEntry: (entry, milliseconds) => {
      up.set(entry, false)
      if (entry === center.name) buckets = new Map()
      timeline.after(milliseconds, () => { up.set(entry, true) })
    },
    replaceEntry: () => {},
    restartVoter: () => {},
    setView: () => {},
    messages: () => messages
  }
}
