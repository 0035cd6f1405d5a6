/**
 * The rules in force at this instance, and whether they are known to be current. The
 * version number never decreases. While the rules are not known to be current, no key
 * is accepted: it may have been removed.
 */

import { EventEmitter } from 'node:events'
import { createHash, timingSafeEqual } from 'node:crypto'
import { EMPTY_RULES, NO_RULES, applyDelta } from '@cyclamenusher/decisions'
import { fromEvent } from 'most'
import { createSuspensionWatch } from '../process/suspension.js'
import type { Stream } from 'most'
import type { AccessRule, OpenRule, RuleLine, Rules } from '@cyclamenusher/decisions'
import type { Clock } from '../process/clock.js'

/** Rules as received in one reply of control. */
export interface RulesUpdate {
  number: number
  /** Version to which the changes apply; 0: `added` holds all rules. */
  baseNumber: number
  removed: readonly string[]
  added: readonly string[]
  fresh: boolean
  /** Age that the confirmation of freshness had at the sender, in milliseconds. */
  ageMilliseconds: number
  /** When the request was sent, on the clock of this instance. */
  askedAt: number
}

/** Account and key with which a caller's connection was authenticated. */
export interface Identity {
  account: string
  /** Name of the key's rule; undefined on an open route. */
  key?: string
  /** Digest of the key that was presented; it differs if the name is given to another key later. */
  digest?: string
}

export interface RulesStore {
  number: () => number
  rules: () => Rules
  lines: () => readonly RuleLine[]
  /** Latest time at which the rules are known to have been current, on the clock of this instance; -Infinity if it was suspended since. */
  lastFreshAt: () => number
  /** Whether the rules were known to be current less than the lease and `additionalMilliseconds` ago. */
  isFresh: (additionalMilliseconds?: number) => boolean
  update: (update: RulesUpdate) => 'changed' | 'unchanged' | 'refused'
  /** Identity of the account with this key; undefined if the key is not valid for the account. */
  identify: (account: string, key: string) => Identity | undefined
  /** Whether the key of `identity` is still valid for its account. */
  isValid: (identity: Identity) => boolean
  access: (account: string, database: string) => AccessRule | undefined
  open: (database: string) => OpenRule | undefined
  /** Emits the number of each version that takes effect. */
  versions: Stream<number>
}

interface RulesIndex {
  keyByDigest: Map<string, { name: string, account: string }>
  accessByPair: Map<string, AccessRule>
  openByDatabase: Map<string, OpenRule>
}

function indexRules (rules: Rules): RulesIndex {
  return {
    keyByDigest: new Map([...rules.keys].map(([name, { digest, account }]) => [digest, { name, account }])),
    accessByPair: new Map([...rules.access.values()].map(rule => [`${rule.account} ${rule.database}`, rule])),
    openByDatabase: new Map([...rules.open.values()].map(rule => [rule.database, rule]))
  }
}

function digestKey (key: string): string {
  return `sha256:${createHash('sha256').update(key).digest('hex')}`
}

export function createRulesStore (clock: Clock, leaseMilliseconds: number, timeOfDay: () => number = Date.now): RulesStore {
  const suspension = createSuspensionWatch(clock, timeOfDay)
  let current = NO_RULES
  let index = indexRules(EMPTY_RULES)
  let number = 0
  let provenAt = -Infinity
  const emitter = new EventEmitter()
  emitter.setMaxListeners(0)

  function update (message: RulesUpdate): 'changed' | 'unchanged' | 'refused' {
    // An older version, or a change to a version other than the current one, is never applied.
    if (message.number < number) return 'refused'
    if (message.baseNumber !== 0 && message.baseNumber !== number) return 'refused'
    const changed = message.number > number
    if (changed) {
      const base = message.baseNumber === 0 ? NO_RULES : current
      current = applyDelta(base, { removed: message.removed, addedTexts: message.added })
      index = indexRules(current.rules)
      number = message.number
    }
    if (message.fresh) provenAt = Math.max(provenAt, message.askedAt - message.ageMilliseconds)
    if (changed) emitter.emit('version', number)
    return changed ? 'changed' : 'unchanged'
  }

  /** The duration of a suspension is unknown, so a proof from before it is of unknown age. */
  function lastFreshAt (): number {
    return provenAt <= suspension.resumedAt() ? -Infinity : provenAt
  }

  function identify (account: string, key: string): Identity | undefined {
    const digest = digestKey(key)
    const found = index.keyByDigest.get(digest)
    if (found === undefined || found.account !== account) return undefined
    const rule = current.rules.keys.get(found.name)
    if (rule === undefined || !timingSafeEqual(Buffer.from(rule.digest), Buffer.from(digest))) return undefined
    return { account, key: found.name, digest }
  }

  function isValid ({ account, key, digest }: Identity): boolean {
    if (key === undefined) return true
    const rule = current.rules.keys.get(key)
    return rule !== undefined && rule.account === account && rule.digest === digest
  }

  return {
    number: () => number,
    rules: () => current.rules,
    lines: () => [...current.lines].map(([identity, text]) => ({ identity, text })),
    lastFreshAt,
    isFresh: (additionalMilliseconds = 0) => clock.now() < lastFreshAt() + leaseMilliseconds + additionalMilliseconds,
    update,
    identify,
    isValid,
    access: (account, database) => index.accessByPair.get(`${account} ${database}`),
    open: database => index.openByDatabase.get(database),
    versions: fromEvent<number>('version', emitter)
  }
}
