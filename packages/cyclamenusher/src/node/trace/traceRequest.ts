/**
 * From the id of a request to the line that decided what became of it: its own
 * lines, and what its instance and control believed by then.
 */

import type { LogLine } from './logLines.js'

export type TraceCause =
  | 'served'
  | 'rate'
  | 'access'
  | 'no lease'
  | 'primary replaced'
  | 'overload'
  | 'server silent'
  | 'replica behind'
  | 'defect'
  | 'not known'

export interface Trace {
  id: string
  cause: TraceCause
  /** What the caller was told. */
  outcome: string
  /** The line that decided; undefined: none was found. */
  deciding: LogLine | undefined
  /** The request's own lines and the beliefs behind them, in order of time. */
  lines: LogLine[]
}

/** Time before the end of a request in which the word of others may be its cause, in milliseconds: a replaced primary and what came before. */
const WINDOW_MILLISECONDS = 5_000

/** Time by which a line may come after what it tells, in milliseconds: instances look at their lease ten times a second. */
const LATE_MILLISECONDS = 150

const LEASE_MESSAGES: ReadonlySet<string> = new Set(['The lease is held.', 'The lease is over.'])
const SERVER_MESSAGES: ReadonlySet<string> = new Set(['A backend server does not answer.', 'A connection to a backend server was not opened.'])
const GROUP_MESSAGE = 'The control of a group moved on.'
/** Phases that begin when control takes a primary out of use. */
const CLOSED_PHASES: ReadonlySet<string> = new Set(['closing', 'fenced'])
const DECLARATION_MESSAGE = 'A declaration is in force here.'
const BELIEF_MESSAGE = 'The belief in a primary changed.'
const DEFECT_MESSAGE = 'A statement met a defect of the instance.'

function text (line: LogLine, fact: string): string {
  const value = line.facts[fact]
  return typeof value === 'string' ? value : ''
}

/** Which group each backend server belongs to, as far as any line tells. */
function groupsOfMembers (lines: readonly LogLine[]): Map<string, string> {
  const groups = new Map<string, string>()
  for (const line of lines) {
    const group = text(line, 'group')
    if (group === '') continue
    for (const fact of ['member', 'primary', 'target']) if (text(line, fact) !== '') groups.set(text(line, fact), group)
  }
  return groups
}

/** Backend servers that the request's lines name, in a field or in a sentence. */
function membersOf (own: readonly LogLine[], known: ReadonlyMap<string, string>): Set<string> {
  const members = new Set<string>()
  for (const line of own) {
    if (text(line, 'member') !== '') members.add(text(line, 'member'))
    for (const word of `${text(line, 'explanation')} ${text(line, 'reason')}`.split(/[\s:;,]+/)) if (known.has(word)) members.add(word)
  }
  return members
}

interface Context {
  lease?: LogLine
  declaration?: LogLine
  belief?: LogLine
  /** The newest step of control that took the group's primary out of use. */
  replacement?: LogLine
  server?: LogLine
}

/** What the instance and control believed when the request ended. */
function contextOf (lines: readonly LogLine[], own: readonly LogLine[]): Context {
  const end = own[own.length - 1]
  const known = groupsOfMembers(lines)
  const members = membersOf(own, known)
  const groups = new Set([...members].flatMap(member => known.get(member) ?? []))
  const context: Context = {}
  for (const line of lines) {
    if (line.at > end.at + LATE_MILLISECONDS) break
    const recent = end.at - line.at <= WINDOW_MILLISECONDS
    const ofGroup = groups.size === 0 || groups.has(text(line, 'group'))
    if (recent && line.message === GROUP_MESSAGE && ofGroup && CLOSED_PHASES.has(text(line, 'to'))) context.replacement = line
    if (line.process !== end.process) continue
    if (LEASE_MESSAGES.has(line.message)) context.lease = line
    if (line.message === DECLARATION_MESSAGE) context.declaration = line
    if (recent && line.message === BELIEF_MESSAGE && ofGroup && text(line, 'use') !== 'open') context.belief = line
    if (recent && SERVER_MESSAGES.has(line.message) && (members.size === 0 || members.has(text(line, 'member')))) context.server = line
  }
  return context
}

interface Rule {
  cause: TraceCause
  /** Matched against the failure and what was said of it. */
  pattern: RegExp
  /** The belief that decided, if a line shows it. */
  decidedBy: (context: Context) => LogLine | undefined
}

/** The first that matches counts. */
const RULES: readonly Rule[] = [
  { cause: 'defect', pattern: /the instance failed/, decidedBy: () => undefined },
  { cause: 'rate', pattern: /over its rate/, decidedBy: ({ declaration }) => declaration },
  { cause: 'access', pattern: /no client account has this key|no route leads to|holds no declaration/, decidedBy: ({ declaration }) => declaration },
  { cause: 'no lease', pattern: /no word from control/, decidedBy: ({ lease }) => lease },
  { cause: 'primary replaced', pattern: /being replaced|have been replaced|read only/, decidedBy: ({ replacement, belief }) => replacement ?? belief },
  { cause: 'server silent', pattern: /did not answer|does not answer|was lost|closed the connection|went silent/, decidedBy: ({ server, replacement }) => server ?? replacement },
  { cause: 'overload', pattern: /busy|connections are in use|more arrives/, decidedBy: ({ server }) => server },
  { cause: 'replica behind', pattern: /lagging/, decidedBy: () => undefined }
]

function isFailure (line: LogLine): boolean {
  return text(line, 'failure') !== '' || line.message === 'A session was refused.'
}

/** Traces a request. Undefined: no line names it. */
export function traceRequest (lines: readonly LogLine[], id: string): Trace | undefined {
  const own = lines.filter(line => line.facts.id === id)
  if (own.length === 0) return undefined
  const end = own[own.length - 1]
  const defect = own.find(({ message }) => message === DEFECT_MESSAGE)
  const failed = own.filter(isFailure).at(-1)
  const outcome = failed === undefined ? end.message : `${text(failed, 'failure') || text(failed, 'reason')}: ${text(failed, 'explanation')}`
  if (failed === undefined) return { id, cause: end.message === 'complete' ? 'served' : 'not known', outcome, deciding: undefined, lines: own }
  const context = contextOf(lines, own)
  // The last word counts first; where it only passes a server's name on, the retries before it tell why.
  const said = [outcome, ...own.map(line => `${text(line, 'reason')} ${text(line, 'explanation')}`).reverse()]
  const rule = said.map(sentence => RULES.find(({ pattern }) => pattern.test(sentence))).find(found => found !== undefined)
  const deciding = defect ?? rule?.decidedBy(context) ?? failed
  const beliefs = Object.values(context) as LogLine[]
  const shown = [...new Set([...beliefs, ...own])].sort((left, right) => left.at - right.at)
  return { id, cause: rule?.cause ?? 'not known', outcome, deciding, lines: shown }
}
