/** Messages that explain where an operation would go, and the reasons why a server is not selected for it. */

import { estimateWait, lacksPosition } from './serverChoice.js'
import type { ReadPolicy } from '../declaration/declaration.js'
import type { HolderReadiness } from '../fleet/groupHolders.js'
import type { LogPosition } from '../session/position.js'
import type { ReadRequirement } from './readNeed.js'
import type { ConnectionState, ServerLoad } from './serverChoice.js'
import type { ServerWarmth } from './warmServers.js'

/** A read-only transaction goes where a read goes; "begin" stands for one that may write. */
export type OperationKind = 'read' | 'write' | 'begin'

export interface ExplanationRequest {
  database: string
  kind: OperationKind
  /** Name of the client account; without it and a digest, the operation has no key. */
  account?: string
  /** Digest of the caller's key (`digestKey`). */
  keyDigest?: string
  /** Log position of the session's last commit. */
  position?: LogPosition
  /** Explains what the instance does with an operation that another instance sends to it. */
  asHolder?: boolean
}

export type ExplanationRefusal = 'no declaration' | 'database unknown' | 'account unknown' | 'key refused'

export type ExplanationReply =
  | { kind: 'refused', reason: ExplanationRefusal, explanation: string }
  | { kind: 'explained', explanation: OperationExplanation }

/** Where the token of the next operation comes from. "none": the operation is refused. */
export type TokenSource = 'this instance' | 'prefetched' | 'loan' | 'none'

export interface RateExplanation {
  ratePerSecond: number
  /** This instance's share of the rate, from 0 to 1. */
  share: number
  /** Tokens that are left here, and those that were borrowed ahead. */
  tokens: number
  prefetched: number
  source: TokenSource
}

export interface HolderExplanation {
  name: string
  failureDomain?: string
  address: string
  readiness: HolderReadiness | 'here'
  /** Whether it lies in the regions of the operation. */
  isAllowed: boolean
}

export type HolderSelection =
  | { kind: 'run here' }
  | { kind: 'send' | 'await attempt', name: string, address: string }

export interface ServerExplanation {
  member: string
  role: 'primary' | 'replica'
  failureDomain: string
  selected: boolean
  /** Newest log position that it is known to hold. */
  position?: LogPosition
  outstanding: number
  allowed: number
  connection: ConnectionState
  /** Moving average of the answer time. */
  averageMilliseconds: number
  /** Undefined: a statement can't be sent now. */
  expectedWaitMilliseconds?: number
  /** Why it is not selected. */
  reason?: string
}

export type PlacementOutcome =
  | { kind: 'selected', member: string }
  /** `expectedMilliseconds`: until the queue takes the operation; undefined: not known. */
  | { kind: 'waits', reason: string, expectedMilliseconds?: number }
  | { kind: 'refused', reason: string }

export interface PlacementExplanation {
  group: string
  /** What is required of the server; `position` is undefined where only the primary can run the operation. */
  need: { kind: ReadRequirement['kind'], position?: LogPosition }
  outcome: PlacementOutcome
  /** Requests that wait for a connection here. */
  waiting: number
  servers: ServerExplanation[]
}

export interface OperationExplanation {
  instance: string
  /** Version of the declaration, and whether it is known to be the newest. */
  version: number
  isCurrent: boolean
  database: string
  kind: OperationKind
  route: { name: string, prefix: string, group: string, readPolicy: ReadPolicy, maximumStalenessMilliseconds?: number, priority: number, statementMilliseconds: number }
  /** Undefined: the route is open, and the key belongs to no client account. */
  account?: string
  allowedRegions?: string[]
  /** Undefined: the operation is not charged, or was charged by another instance. */
  rate?: RateExplanation
  /** In order of preference. */
  holders: HolderExplanation[]
  selection: HolderSelection
  /** Why the operation is refused before a server is selected. */
  refusal?: string
  /** Undefined: another instance selects the server. */
  placement?: PlacementExplanation
}

/** What an instance knows of a server when it selects one. */
export interface ServerFacts {
  /** The load, limited to what the operation may use. */
  load: ServerLoad
  need: ReadRequirement
  isAllowed: boolean
  /** Whether drains leave the server in use, as far as this instance knows. */
  isSelectable: boolean
  areDrainsKnown: boolean
  warmth: ServerWarmth
  selected: ServerLoad | undefined
}

interface ServerCheck {
  applies: (facts: ServerFacts, now: number) => boolean
  describe: (facts: ServerFacts) => string
}

/** Checks in the order in which they rule a server out. */
const SERVER_CHECKS: readonly ServerCheck[] = [
  { applies: ({ isAllowed }) => !isAllowed, describe: () => 'it lies outside the allowed regions' },
  { applies: ({ areDrainsKnown }) => !areDrainsKnown, describe: () => 'the instance has no word from control and may not know of a drain' },
  { applies: ({ isSelectable }) => !isSelectable, describe: () => 'its failure domain is drained' },
  { applies: ({ need, load }) => need.kind === 'primary' && !load.isPrimary, describe: () => 'only a primary that is open for work can run the operation' },
  { applies: ({ load }) => load.leaving && !load.isPrimary, describe: () => 'it leaves' },
  { applies: ({ load }) => load.failing, describe: () => 'it does not answer' },
  { applies: ({ need, load }, now) => need.kind === 'position' && lacksPosition(load, need, now), describe: () => 'it is not expected to hold the required position yet' },
  { applies: ({ warmth }) => warmth === 'exhausted', describe: () => 'it is cold and may not receive more now' },
  { applies: ({ load }) => load.outstanding >= load.allowed, describe: ({ load }) => `${load.outstanding} statements are outstanding, and ${load.allowed} are allowed` },
  { applies: ({ load }) => load.connection === 'none', describe: () => 'no connection to it is free, and no more may be opened' },
  { applies: ({ selected }) => selected === undefined, describe: () => 'no server is selected' },
  { applies: ({ warmth }) => warmth === 'cold', describe: () => 'it is cold, and a warm server can run the operation' },
  { applies: ({ load }) => load.isPrimary && load.runsUrgentWork === true, describe: () => 'it runs more urgent work, and another server can run the operation' },
  { applies: ({ load, selected }, now) => selected !== undefined && estimateWait(load, now, 0) > estimateWait(selected, now, 0), describe: ({ selected }) => `a shorter wait is expected at ${selected?.member ?? ''}` },
  { applies: ({ load, selected }) => load.isPrimary && selected?.isPrimary === false, describe: () => 'it is the primary, and a replica can run the operation' }
]

/** Why a server is not selected. Undefined: it is. */
export function explainServerChoice (facts: ServerFacts, now: number): string | undefined {
  const { load, selected } = facts
  if (selected !== undefined && selected.member === load.member) return undefined
  const check = SERVER_CHECKS.find(({ applies }) => applies(facts, now))
  return check?.describe(facts) ?? `it is about equal to ${selected?.member ?? 'another one'}, which is nearer or has less work of other instances`
}
