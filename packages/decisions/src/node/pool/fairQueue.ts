/**
 * Who gets the next free connection. Weighted fair queueing: each client
 * account has a virtual time that moves on by the time that it held
 * connections, divided by its weight; the account that is furthest behind is
 * served first. An account that was idle starts at the current virtual time,
 * so it can't save up for a surge.
 */

/** How waiting accounts are ordered; "first come" is a baseline for measurements. */
export type QueuePolicy = 'weighted fair' | 'first come'

export interface QueueEntry {
  account: string
  weight: number
}

export interface QueueLimits {
  /** Entries that may wait together. */
  maximumWaiting: number
}

interface AccountQueue<Entry> {
  weight: number
  /** Milliseconds of connection time already taken, divided by the weight. */
  virtualTime: number
  /** Connections that the account holds now. */
  held: number
  /** How long the account holds a connection as a rule, in milliseconds. */
  estimatedMilliseconds: number
  waiting: Entry[]
}

export interface FairQueue<Entry extends QueueEntry> {
  /** Adds an entry; gives back the entry that has to go because the queue is full. */
  add: (entry: Entry) => Entry | undefined
  /** Takes the entry that is to be served next; the account counts as holding a connection. */
  take: () => Entry | undefined
  /** The account took a connection without waiting. */
  acquire: (entry: QueueEntry) => void
  /** The account gave a connection back after `milliseconds`. */
  release: (account: string, milliseconds: number) => void
  remove: (entry: Entry) => void
  /** Takes out all entries. */
  clear: () => Entry[]
  size: () => number
}

/** Connection time that a grant is expected to take before any was seen, in milliseconds. */
const INITIAL_ESTIMATE_MILLISECONDS = 1
/** Least that a loan is charged, in milliseconds: also the shortest requests take turns. */
const MINIMUM_CHARGE_MILLISECONDS = 0.1
/** Share of the newest duration in an account's estimate. */
const ESTIMATE_WEIGHT = 0.2
/** Furthest that an account can be ahead of the others, in milliseconds of virtual time. */
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
    // An account that is ahead of the others stays known until they have caught up.
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
      // The newest entry of the account with the longest queue goes: a surge pays for itself.
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
      // What is held already counts, so that long transactions can't be taken on credit.
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
      // Time that nobody else waited for costs nothing.
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
