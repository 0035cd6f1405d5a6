/** A backend server of a model: the orders and answers that docs/interfaces/backend-servers.md asks for. */

import { createModelProcess } from './modelProcess.js'
import type { MemberStatus } from '../group/view.js'
import type { LogPosition } from '../session/position.js'
import type { ModelProcess, World } from './world.js'

export interface ModelRecord {
  term: number
  value: string
}

/** What outlives a process. */
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
  /** Values that reads show. */
  read: () => string[]
}

export interface ModelMemberOptions {
  world: World
  name: string
  failureDomain: string
  disk: ModelDisk
  incarnation: string
  /** The member that has this name now. */
  find: (name: string) => ModelMember
  onPromoted: (member: ModelMember, term: number) => void
  onCommitted: (value: string) => void
  /** Gives the term of its log as that of what reads show; for a mutation only. */
  showsLogTerm: boolean
  /** Grants a term to a second coordinator; for a mutation only. */
  grantsTwice: boolean
}

/** Time between two questions of a replica to its primary, in milliseconds. */
const PULL_MILLISECONDS = 20
/** Time that a primary has to answer one, in milliseconds. */
const PULL_TIMEOUT_MILLISECONDS = 60
/** Records that one answer carries. */
const PULL_RECORDS = 8

export function emptyDisk (voting = false): ModelDisk {
  return { adoptedTerm: 0, voting, records: [] }
}

function commonLength (left: readonly ModelRecord[], right: readonly ModelRecord[]): number {
  let length = 0
  while (length < left.length && length < right.length && left[length] === right[length]) length += 1
  return length
}

export function createModelMember (options: ModelMemberOptions): ModelMember {
  const { world, name, disk, incarnation } = options
  const process = createModelProcess(name, options.failureDomain)
  let role: MemberStatus['role'] = 'replica'
  let grantedTerm = 0
  let following = ''
  let primaryMember = ''
  let heardAt = -1
  let applied = disk.records.length

  const lastTerm = (): number => disk.records.at(-1)?.term ?? 0

  function status (): MemberStatus {
    return {
      member: name,
      role,
      adoptedTerm: disk.adoptedTerm,
      logTerm: lastTerm(),
      position: disk.records.length,
      appliedTerm: options.showsLogTerm ? lastTerm() : disk.records[applied - 1]?.term ?? 0,
      appliedPosition: applied,
      primaryMember: role === 'primary' ? name : primaryMember,
      heardMilliseconds: heardAt < 0 ? -1 : world.now() - heardAt,
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
    following = ''
  }

  const member: ModelMember = {
    process,
    disk,
    incarnation,
    status,
    adopt: term => {
      if (term < disk.adoptedTerm || (term === disk.adoptedTerm && !options.grantsTwice)) return { status: status(), granted: false }
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
      applied = disk.records.length
      return true
    },
    follow: (term, primary) => {
      if (term < disk.adoptedTerm || (role === 'primary' && term === disk.adoptedTerm)) return
      disk.adoptedTerm = term
      grantedTerm = 0
      if (following === primary) return
      stepDown()
      following = primary
    },
    admit: (term, position, admitted) => {
      const isHeld = disk.adoptedTerm === term && (lastTerm() === term || position === 0) && disk.records.length >= position
      if (admitted !== incarnation || !isHeld) return false
      disk.voting = true
      return true
    },
    commit: value => {
      if (role !== 'primary') return undefined
      disk.records.push({ term: disk.adoptedTerm, value })
      applied = disk.records.length
      options.onCommitted(value)
      return { term: disk.adoptedTerm, position: disk.records.length }
    },
    read: () => disk.records.slice(0, applied).map(({ value }) => value)
  }

  /** What a primary answers to a replica of its term: where their logs part, and what comes after. */
  function serve (term: number, records: readonly ModelRecord[]): { keep: number, next: ModelRecord[] } | undefined {
    if (role !== 'primary' || disk.adoptedTerm !== term) return undefined
    const keep = commonLength(disk.records, records)
    return { keep, next: disk.records.slice(keep, keep + PULL_RECORDS) }
  }
  SERVERS.set(member, serve)

  async function pullOnce (): Promise<void> {
    const [primary, term, length] = [following, disk.adoptedTerm, disk.records.length]
    const records = [...disk.records]
    const target = options.find(primary)
    const answer = await world.call(process, target.process, () => SERVERS.get(target)?.(term, records), PULL_TIMEOUT_MILLISECONDS)
    // The answer joins on to the log that was shown with the question only.
    if (answer === undefined || following !== primary || disk.adoptedTerm !== term || disk.records.length !== length) return
    heardAt = world.now()
    primaryMember = primary
    disk.records.length = answer.keep
    disk.records.push(...answer.next)
    applied = Math.min(applied, answer.keep)
    const lag = world.random() < 0.1 ? world.between(0, 800) : world.between(0, 30)
    const position = disk.records.length
    world.at(lag, () => { applied = Math.max(applied, Math.min(position, disk.records.length)) })
  }

  async function live (): Promise<void> {
    while (process.alive) {
      if (following !== '') await pullOnce()
      await world.sleep(process, PULL_MILLISECONDS)
    }
  }

  void live()
  return member
}

const SERVERS = new WeakMap<ModelMember, (term: number, records: readonly ModelRecord[]) => { keep: number, next: ModelRecord[] } | undefined>()
