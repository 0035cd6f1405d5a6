/**
 * Which entry instances may hold rate shares or have borrowed lately, and upper bounds of
 * their shares, as the log records them. A leader grants an instance its first lease, and a
 * share beyond its bound, only once the log holds that.
 */

import { SHARE_VALIDITY_MILLISECONDS, countShareUse, findShareUse, limitShareUse, lowerBounds, raiseBound, sumBounds } from '@cyclamenusher/decisions'
import type { FleetState, ShareHolderChanges } from '@cyclamenusher/decisions'
import type { ShareLimits } from './entryLeases.js'

/** Interval between two looks for instances whose shares have ended and for bounds that have grown loose, in milliseconds. */
const CLEANUP_INTERVAL_MILLISECONDS = 5_000
/** Bound for an instance of which a leader of an earlier build recorded nothing. */
const UNKNOWN_BOUND = 1

export interface ShareRecordOptions {
  term: number
  state: () => Pick<FleetState, 'shareHolders' | 'shareBounds' | 'shareUse' | 'entries'>
  /** When this leader was elected. */
  startedAt: number
  /** Resolves with whether `state` holds every command that earlier leaders wrote. */
  confirmState: () => Promise<boolean>
  /** Writes changes to the log, and resolves with whether the log holds them. */
  write: (changes: ShareHolderChanges) => Promise<boolean>
  /** Called once the log holds changes. */
  onWritten: (changes: ShareHolderChanges) => void
}

export interface KnownHolders {
  /** Whether the instance has renewed at this leader, so that its shares are known. */
  has: (name: string) => boolean
  /** Share of an account that the instance may hold; 0 if it holds none. */
  heldBy: (name: string, account: string) => number
}

export interface ShareRecord {
  /** Whether what earlier leaders wrote is known here. */
  isCurrent: () => boolean
  /** Whether the log holds the instance, and no shorter use of its shares than it states. */
  isRecorded: (name: string, shareMilliseconds: number | undefined) => boolean
  /** Whether the log holds a longer use of the instance's shares than it states. */
  isUseLonger: (name: string, shareMilliseconds: number | undefined) => boolean
  /** Has the instance recorded with the next write. */
  add: (name: string, shareMilliseconds: number | undefined) => void
  /** Recorded instances that have not renewed at this leader and whose shares or loans may still count. */
  countMissing: (known: KnownHolders, now: number) => number
  limits: (known: KnownHolders, returned: number, now: number) => ShareLimits
  /** Writes what has changed, one command at a time. */
  write: (known: KnownHolders, now: number) => void
  /** Whether shares wait for bounds that are not in the log yet. */
  awaitsBounds: () => boolean
}

export function createShareRecord ({ term, state, startedAt, confirmState, write: writeToLog, onWritten }: ShareRecordOptions): ShareRecord {
  let isCurrent = false
  let expected = 0
  /** Whether the log says nothing of instances that an earlier leader counted. */
  let isUnknown = false
  /** Bounds to raise, by account and instance. */
  const requested = new Map<string, Map<string, number>>()
  /** Instances to record. */
  const added = new Set<string>()
  /** Uses of shares to record, by instance, in milliseconds. */
  const statedUse = new Map<string, number>()
  /** Changes on their way to the log. */
  let pending: ShareHolderChanges | undefined
  let isWriting = false
  let cleanedAt = startedAt

  const isOver = (now: number): boolean => now - startedAt > SHARE_VALIDITY_MILLISECONDS

  function listMissing (known: KnownHolders, now: number): string[] {
    return isOver(now) ? [] : [...state().shareHolders ?? []].filter(name => !known.has(name))
  }

  /** Instances among the missing ones that may still use shares. */
  function listMissingWithShares (known: KnownHolders, now: number): string[] {
    return listMissing(known, now).filter(name => now - startedAt <= countShareUse(findShareUse(state().shareUse, term, name)))
  }

  /** Whether a leader of an earlier build may have granted shares to instances that are not recorded. */
  function isIncomplete (returned: number, now: number): boolean {
    return isUnknown && !isOver(now) && returned < expected
  }

  /** The bound that holds whether or not the pending changes are applied. */
  function findBound (account: string, name: string): number {
    if (pending?.removed.includes(name) === true) return 0
    const recorded = state().shareBounds.get(account)?.get(name) ?? 0
    const changed = pending?.bounds.find(([changedAccount]) => changedAccount === account)?.[1].find(([changedName]) => changedName === name)?.[1]
    return Math.min(recorded, changed ?? Infinity)
  }

  function requestBound (account: string, name: string, bound: number): void {
    const ofAccount = requested.get(account) ?? new Map<string, number>()
    requested.set(account, ofAccount.set(name, Math.max(bound, ofAccount.get(name) ?? 0)))
  }

  function collectChanges (known: KnownHolders, now: number): ShareHolderChanges {
    const changes: ShareHolderChanges = { added: [...added], removed: [], bounds: [...requested].map(([account, bounds]) => [account, [...bounds]]), use: { term, milliseconds: [...statedUse] } }
    added.clear()
    statedUse.clear()
    requested.clear()
    if (now - cleanedAt < CLEANUP_INTERVAL_MILLISECONDS) return changes
    cleanedAt = now
    if (isOver(now)) changes.removed = [...state().shareHolders ?? []].filter(name => !known.has(name))
    const raised = new Set(changes.bounds.map(([account]) => account))
    for (const account of state().shareBounds.keys()) {
      const lowered = lowerBounds(state().shareBounds, account, name => known.has(name) ? known.heldBy(name, account) : undefined)
      if (lowered.size > 0 && !raised.has(account)) changes.bounds.push([account, [...lowered]])
    }
    return changes
  }

  async function send (changes: ShareHolderChanges): Promise<void> {
    pending = changes
    isWriting = true
    const written = await writeToLog(changes)
    isWriting = false
    // Changes that may or may not have been applied are written once more.
    if (!written) return
    pending = undefined
    onWritten(changes)
  }

  /** Reads what earlier leaders wrote, once all of it is applied here. */
  async function readEarlierState (): Promise<void> {
    isWriting = true
    isCurrent = await confirmState()
    isWriting = false
    const { shareHolders, entries } = state()
    expected = entries
    isUnknown = shareHolders === undefined && entries > 0
  }

  function write (known: KnownHolders, now: number): void {
    if (isWriting) return
    if (!isCurrent) {
      // What has come meanwhile is written at once: instances wait for it before their first lease.
      void readEarlierState().then(() => { if (isCurrent) write(known, now) })
      return
    }
    const changes = pending ?? collectChanges(known, now)
    // Without a command of this term, the next leader could not tell whether another one granted shares meanwhile.
    const isTermRecorded = state().shareUse?.term === term
    if (isTermRecorded && changes.added.length + changes.removed.length + changes.bounds.length === 0) return
    void send(changes)
  }

  return {
    isCurrent: () => isCurrent,
    isRecorded: (name, shareMilliseconds = SHARE_VALIDITY_MILLISECONDS) => {
      const isHeld = isCurrent && state().shareHolders?.has(name) === true && pending?.removed.includes(name) !== true
      const stated = limitShareUse(shareMilliseconds)
      // What an earlier process of this name stated may be on its way to the log.
      const isBeingShortened = [...pending?.use?.milliseconds ?? [], ...statedUse].some(([changed, milliseconds]) => changed === name && milliseconds < stated)
      return isHeld && !isBeingShortened && findShareUse(state().shareUse, term, name) >= stated
    },
    isUseLonger: (name, shareMilliseconds = SHARE_VALIDITY_MILLISECONDS) => findShareUse(state().shareUse, term, name) > limitShareUse(shareMilliseconds),
    add: (name, shareMilliseconds = SHARE_VALIDITY_MILLISECONDS) => {
      added.add(name)
      statedUse.set(name, limitShareUse(shareMilliseconds))
    },
    countMissing: (known, now) => listMissing(known, now).length,
    limits: (known, returned, now) => {
      const missing = listMissingWithShares(known, now)
      const isUnsure = isIncomplete(returned, now)
      return {
        missing: account => isUnsure ? UNKNOWN_BOUND : sumBounds(state().shareBounds, account, missing),
        boundOf: findBound,
        exceed: (account, name, share, lenders) => { requestBound(account, name, raiseBound(share, lenders)) }
      }
    },
    write,
    awaitsBounds: () => requested.size > 0 || (pending?.bounds.length ?? 0) > 0
  }
}
