/**
 * Weighted fair queueing of the requests that wait for a connection. Each client
 * account has a virtual time, which advances by the time for which the account
 * holds connections, divided by its weight. The account with the lowest virtual
 * time is served first. An account that was idle starts at the current virtual
 * time, so that it can't accumulate credit for a surge.
 */

/** Order in which waiting entries are served; "first come" is a baseline for measurements. */
export type QueuePolicy = 'weighted fair' | 'first come'

export interface QueueEntry {
  account: string
  weight: number
}

export interface QueueLimits {
  /** Maximum number of waiting entries. */
  maximumWaiting: number
}

interface AccountQueue<Entry> {
  weight: number
  /** Connection time charged so far divided by the weight, in milliseconds. */
  virtualTime: number
  /** Connections that the account holds now. */
  held: number
  /** Moving average of how long the account holds a connection, in milliseconds. */
  estimatedMilliseconds: number
  waiting: Entry[]
}

export interface FairQueue<Entry extends QueueEntry> {
  /** Adds an entry. If the queue is full, returns the entry that was dropped. */
  add: (entry: Entry) => Entry | undefined
  /** Removes and returns the entry to serve next; its account then holds one more connection. */
  take: () => Entry | undefined
  /** Records that the account acquired a connection without waiting. */
  acquire: (entry: QueueEntry) => void
  /** Records that the account released a connection that it held for `milliseconds`. */
  release: (account: string, milliseconds: number) => void
  remove: (entry: Entry) => void
  /** Removes and returns all entries. */
  clear: () => Entry[]
  size: () => number
}

/** Estimate of how long an account holds a connection before it has released any, in milliseconds. */
const INITIAL_ESTIMATE_MILLISECONDS = 1
/** Minimum duration charged for a connection, in milliseconds, so that accounts with very short requests also take turns. */
const MINIMUM_CHARGE_MILLISECONDS = 0.1
/** Weight of the latest duration in an account's estimate. */
const ESTIMATE_WEIGHT = 0.2
/** Maximum lead of an account over the current virtual time, in milliseconds. */
const MAXIMUM_LEAD_MILLISECONDS = 2_000

type AccountSelector<Entry> = (accounts: Map<string, AccountQueue<Entry>>, arrivals: readonly Entry[]) => string | undefined

function selectFurthestBehind<Entry> (accounts: Map<string, AccountQueue<Entry>>): string | undefined {
  let chosen: string | undefined
  let least = Infinity
  for (const [name, { waiting, virtualTime }] of accounts) {
    if (waiting.length === 0 || virtualTime >= least) continue
    chosen = name
    least = virtualTime
  }
  return chosen
}

const ACCOUNT_SELECTORS: Record<QueuePolicy, AccountSelector<QueueEntry>> = {
  'weighted fair': selectFurthestBehind,
  'first come': (_accounts, arrivals) => arrivals[0]?.account
}

export function createFairQueue<Entry extends QueueEntry> (limits: QueueLimits, policy: QueuePolicy = 'weighted fair'): FairQueue<Entry> {
  const accounts = new Map<string, AccountQueue<Entry>>()
  let arrivals: Entry[] = []
  let virtualNow = 0

  function ensureAccount ({ account, weight }: QueueEntry): AccountQueue<Entry> {
    const known = accounts.get(account)
    if (known === undefined) {
      const created: AccountQueue<Entry> = { weight, virtualTime: virtualNow, held: 0, estimatedMilliseconds: INITIAL_ESTIMATE_MILLISECONDS, waiting: [] }
      accounts.set(account, created)
      return created
    }
    known.weight = weight
    if (known.held === 0 && known.waiting.length === 0) known.virtualTime = Math.max(known.virtualTime, virtualNow)
    return known
  }

  function removeIdle (name: string): void {
    const account = accounts.get(name)
    // An account that is ahead is kept until the virtual time has caught up, so that its debt is not lost.
    if (account?.held === 0 && account.waiting.length === 0 && account.virtualTime <= virtualNow) accounts.delete(name)
  }

  function findLongestQueue (): AccountQueue<Entry> {
    return [...accounts.values()].reduce((left, right) => right.waiting.length / right.weight > left.waiting.length / left.weight ? right : left)
  }

  function remove (entry: Entry): void {
    const account = accounts.get(entry.account)
    if (account === undefined) return
    account.waiting = account.waiting.filter(other => other !== entry)
    arrivals = arrivals.filter(other => other !== entry)
    removeIdle(entry.account)
  }

  function charge (account: AccountQueue<Entry>, milliseconds: number): void {
    const limit = virtualNow + MAXIMUM_LEAD_MILLISECONDS
    account.virtualTime = Math.max(0, Math.min(limit, account.virtualTime + milliseconds / account.weight))
  }

  return {
    add: entry => {
      ensureAccount(entry).waiting.push(entry)
      arrivals.push(entry)
      if (arrivals.length <= limits.maximumWaiting) return undefined
      // Drops the newest entry of the account with the longest queue for its weight, so that a surge only harms its own account.
      const dropped = policy === 'first come' ? entry : findLongestQueue().waiting.at(-1) ?? entry
      remove(dropped)
      return dropped
    },
    take: () => {
      const name = ACCOUNT_SELECTORS[policy](accounts as unknown as Map<string, AccountQueue<QueueEntry>>, arrivals)
      const account = name === undefined ? undefined : accounts.get(name)
      const entry = account?.waiting.shift()
      if (account === undefined || entry === undefined) return undefined
      arrivals.splice(arrivals.indexOf(entry), 1)
      virtualNow = Math.max(virtualNow, account.virtualTime)
      account.held += 1
      // Charges the estimate in advance, so that an account can't take many long transactions before it is charged.
      charge(account, account.estimatedMilliseconds)
      return entry
    },
    acquire: entry => {
      ensureAccount(entry).held += 1
    },
    release: (name, heldMilliseconds) => {
      const account = accounts.get(name)
      if (account === undefined) return
      const milliseconds = Math.max(MINIMUM_CHARGE_MILLISECONDS, heldMilliseconds)
      account.held = Math.max(0, account.held - 1)
      const expected = account.estimatedMilliseconds
      account.estimatedMilliseconds += (milliseconds - expected) * ESTIMATE_WEIGHT
      // The difference to the estimate is charged only while entries wait; otherwise no other account was delayed.
      if (arrivals.length > 0) charge(account, milliseconds - expected)
      removeIdle(name)
    },
    remove,
    clear: () => {
      const remaining = arrivals
      arrivals = []
      for (const account of accounts.values()) account.waiting = []
      return remaining
    },
    size: () => arrivals.length
  }
}
