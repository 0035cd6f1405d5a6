/** A simulated backend server with the commands and answers that docs/interfaces/backend-servers.md specifies. */

import { createModelProcess } from './modelProcess.js'
import type { MemberStatus } from '../group/view.js'
import type { LogPosition } from '../session/position.js'
import type { ModelProcess, Simulation } from './world.js'

export interface ModelRecord {
  term: number
  value: string
}

/** State that survives a restart of the process. */
export interface ModelDisk {
  adoptedTerm: number
  voting: boolean
  records: ModelRecord[]
}

export interface ModelMember {
  process: ModelProcess
  disk: ModelDisk
  incarnation: string
  status: () => MemberStatus
  adopt: (term: number) => { status: MemberStatus, granted: boolean }
  promote: (term: number) => boolean
  follow: (term: number, primary: string) => void
  admit: (term: number, position: number, incarnation: string) => boolean
  commit: (value: string) => LogPosition | undefined
  /** Returns the values that are visible to reads. */
  read: () => string[]
}

export interface ModelMemberOptions {
  simulation: Simulation
  name: string
  failureDomain: string
  disk: ModelDisk
  incarnation: string
  /** Returns the member that currently has this name; a restart creates a new one. */
  findMember: (name: string) => ModelMember
  onPromoted: (member: ModelMember, term: number) => void
  onCommitted: (value: string) => void
  /** Reports the term of the last record in the log as that of the last applied one; only for a mutation. */
  reportsLogTermAsApplied: boolean
  /** Grants the same term to a second coordinator; only for a mutation. */
  grantsTermTwice: boolean
}

/** Time that a replica waits between two pulls from its primary, in milliseconds. */
const PULL_INTERVAL_MILLISECONDS = 20
/** Time that a primary has to answer a pull, in milliseconds. */
const PULL_TIMEOUT_MILLISECONDS = 60
/** Maximum number of records in the answer to a pull. */
const PULL_RECORDS = 8

export function createEmptyDisk (voting = false): ModelDisk {
  return { adoptedTerm: 0, voting, records: [] }
}

function commonPrefixLength (left: readonly ModelRecord[], right: readonly ModelRecord[]): number {
  let length = 0
  while (length < left.length && length < right.length && left[length] === right[length]) length += 1
  return length
}

export function createModelMember (options: ModelMemberOptions): ModelMember {
  const { simulation, name, disk, incarnation } = options
  const process = createModelProcess(name, options.failureDomain)
  let role: MemberStatus['role'] = 'replica'
  let grantedTerm = 0
  let followTarget = ''
  let primaryMember = ''
  let lastContactAt = -1
  let appliedCount = disk.records.length

  const lastTerm = (): number => disk.records.at(-1)?.term ?? 0

  function status (): MemberStatus {
    return {
      member: name,
      role,
      adoptedTerm: disk.adoptedTerm,
      logTerm: lastTerm(),
      position: disk.records.length,
      appliedTerm: options.reportsLogTermAsApplied ? lastTerm() : disk.records[appliedCount - 1]?.term ?? 0,
      appliedPosition: appliedCount,
      primaryMember: role === 'primary' ? name : primaryMember,
      heardMilliseconds: lastContactAt < 0 ? -1 : simulation.now() - lastContactAt,
      primaryRefused: false,
      voting: disk.voting,
      incarnation,
      leaving: false,
      openTransactions: 0
    }
  }

  function stepDown (): void {
    role = 'replica'
    primaryMember = ''
    followTarget = ''
  }

  const member: ModelMember = {
    process,
    disk,
    incarnation,
    status,
    adopt: term => {
      if (term < disk.adoptedTerm || (term === disk.adoptedTerm && !options.grantsTermTwice)) return { status: status(), granted: false }
      disk.adoptedTerm = term
      grantedTerm = term
      stepDown()
      return { status: status(), granted: true }
    },
    promote: term => {
      if (role === 'primary' && disk.adoptedTerm === term) return true
      const isGranted = grantedTerm === term && disk.adoptedTerm === term && disk.voting
      if (!isGranted) return false
      grantedTerm = 0
      role = 'primary'
      options.onPromoted(member, term)
      disk.records.push({ term, value: `term ${term}` })
      appliedCount = disk.records.length
      return true
    },
    follow: (term, primary) => {
      if (term < disk.adoptedTerm || (role === 'primary' && term === disk.adoptedTerm)) return
      disk.adoptedTerm = term
      grantedTerm = 0
      if (followTarget === primary) return
      stepDown()
      followTarget = primary
    },
    admit: (term, position, requestedIncarnation) => {
      const holdsPosition = disk.adoptedTerm === term && (lastTerm() === term || position === 0) && disk.records.length >= position
      if (requestedIncarnation !== incarnation || !holdsPosition) return false
      disk.voting = true
      return true
    },
    commit: value => {
      if (role !== 'primary') return undefined
      disk.records.push({ term: disk.adoptedTerm, value })
      appliedCount = disk.records.length
      options.onCommitted(value)
      return { term: disk.adoptedTerm, position: disk.records.length }
    },
    read: () => disk.records.slice(0, appliedCount).map(({ value }) => value)
  }

  /** Answers a pull from a replica of the same term: the length of their common log prefix, and the records that follow it. */
  function answerReplica (term: number, records: readonly ModelRecord[]): { keep: number, next: ModelRecord[] } | undefined {
    if (role !== 'primary' || disk.adoptedTerm !== term) return undefined
    const keep = commonPrefixLength(disk.records, records)
    return { keep, next: disk.records.slice(keep, keep + PULL_RECORDS) }
  }
  REPLICATION_HANDLERS.set(member, answerReplica)

  async function pullOnce (): Promise<void> {
    const [primary, term, length] = [followTarget, disk.adoptedTerm, disk.records.length]
    const records = [...disk.records]
    const target = options.findMember(primary)
    const answer = await simulation.call(process, target.process, () => REPLICATION_HANDLERS.get(target)?.(term, records), PULL_TIMEOUT_MILLISECONDS)
    // The answer fits only the log that was sent with the pull.
    if (answer === undefined || followTarget !== primary || disk.adoptedTerm !== term || disk.records.length !== length) return
    lastContactAt = simulation.now()
    primaryMember = primary
    disk.records.length = answer.keep
    disk.records.push(...answer.next)
    appliedCount = Math.min(appliedCount, answer.keep)
    const applyDelay = simulation.random() < 0.1 ? simulation.integerBetween(0, 800) : simulation.integerBetween(0, 30)
    const position = disk.records.length
    simulation.at(applyDelay, () => { appliedCount = Math.max(appliedCount, Math.min(position, disk.records.length)) })
  }

  async function replicate (): Promise<void> {
    while (process.alive) {
      if (followTarget !== '') await pullOnce()
      await simulation.sleep(process, PULL_INTERVAL_MILLISECONDS)
    }
  }

  void replicate()
  return member
}

/** Functions that answer pulls from replicas, by member. */
const REPLICATION_HANDLERS = new WeakMap<ModelMember, (term: number, records: readonly ModelRecord[]) => { keep: number, next: ModelRecord[] } | undefined>()
