/**
 * Finds the log line that explains the outcome of a request, among the request's
 * own lines and those that show the state of its instance and of control at that time.
 */

import { lookUp } from '@cyclamenusher/decisions'
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
  /** The answer to the caller. */
  outcome: string
  /** The line that explains the outcome. Undefined: none was found. */
  deciding: LogLine | undefined
  /** The request's own lines and those that show the state of its instance and of control, in order of time. */
  lines: LogLine[]
}

/** Time before the end of a request in which an event elsewhere may be its cause, in milliseconds: long enough for the replacement of a primary and what led to it. */
const CAUSE_WINDOW_MILLISECONDS = 5_000

/** Maximum delay between an event and its log line, in milliseconds: instances check their lease ten times a second. */
const LOG_DELAY_TOLERANCE_MILLISECONDS = 150

const LEASE_MESSAGES: ReadonlySet<string> = new Set(['The lease is held.', 'The lease is over.'])
const SERVER_FAILURE_MESSAGES: ReadonlySet<string> = new Set(['A backend server does not answer.', 'A connection to a backend server was not opened.'])
const GROUP_PHASE_MESSAGE = 'The control of a group moved on.'
/** Phases that control enters when it takes a primary out of use. */
const CLOSED_PHASES: ReadonlySet<string> = new Set(['closing', 'fenced'])
const DECLARATION_MESSAGE = 'A declaration is in force here.'
const ASSIGNMENT_MESSAGE = 'The belief in a primary changed.'
const DEFECT_MESSAGE = 'A statement met a defect of the instance.'

function readFact (line: LogLine, fact: string): string {
  const value = lookUp(line.facts, fact)
  return typeof value === 'string' ? value : ''
}

/** Maps backend servers to their groups, for all servers whose group a line states. */
function mapMembersToGroups (lines: readonly LogLine[]): Map<string, string> {
  const groups = new Map<string, string>()
  for (const line of lines) {
    const group = readFact(line, 'group')
    if (group === '') continue
    for (const fact of ['member', 'primary', 'target']) if (readFact(line, fact) !== '') groups.set(readFact(line, fact), group)
  }
  return groups
}

/** Returns the backend servers that the request's lines name, in the `member` fact or within an explanation or reason. */
function findNamedMembers (requestLines: readonly LogLine[], groupsByMember: ReadonlyMap<string, string>): Set<string> {
  const members = new Set<string>()
  for (const line of requestLines) {
    if (readFact(line, 'member') !== '') members.add(readFact(line, 'member'))
    for (const word of `${readFact(line, 'explanation')} ${readFact(line, 'reason')}`.split(/[\s:;,]+/)) if (groupsByMember.has(word)) members.add(word)
  }
  return members
}

interface Context {
  lease?: LogLine
  declaration?: LogLine
  assignment?: LogLine
  /** The newest phase change with which control took the group's primary out of use. */
  replacement?: LogLine
  serverFailure?: LogLine
}

/** Collects the lines that show the state of the instance and of control when the request ended. */
function collectContext (lines: readonly LogLine[], requestLines: readonly LogLine[]): Context {
  const lastLine = requestLines[requestLines.length - 1]
  const groupsByMember = mapMembersToGroups(lines)
  const members = findNamedMembers(requestLines, groupsByMember)
  const groups = new Set([...members].flatMap(member => groupsByMember.get(member) ?? []))
  const context: Context = {}
  for (const line of lines) {
    if (line.at > lastLine.at + LOG_DELAY_TOLERANCE_MILLISECONDS) break
    const isRecent = lastLine.at - line.at <= CAUSE_WINDOW_MILLISECONDS
    const concernsGroup = groups.size === 0 || groups.has(readFact(line, 'group'))
    if (isRecent && line.message === GROUP_PHASE_MESSAGE && concernsGroup && CLOSED_PHASES.has(readFact(line, 'to'))) context.replacement = line
    if (line.process !== lastLine.process) continue
    if (LEASE_MESSAGES.has(line.message)) context.lease = line
    if (line.message === DECLARATION_MESSAGE) context.declaration = line
    if (isRecent && line.message === ASSIGNMENT_MESSAGE && concernsGroup && readFact(line, 'use') !== 'open') context.assignment = line
    if (isRecent && SERVER_FAILURE_MESSAGES.has(line.message) && (members.size === 0 || members.has(readFact(line, 'member')))) context.serverFailure = line
  }
  return context
}

interface CauseRule {
  cause: TraceCause
  /** Matched against the failure and its explanations. */
  pattern: RegExp
  /** Returns the line that explains the failure, if there is one. */
  findDecidingLine: (context: Context) => LogLine | undefined
}

/** The first rule that matches applies. */
const CAUSE_RULES: readonly CauseRule[] = [
  { cause: 'defect', pattern: /the instance failed/, findDecidingLine: () => undefined },
  { cause: 'rate', pattern: /over its rate/, findDecidingLine: ({ declaration }) => declaration },
  { cause: 'access', pattern: /no client account has this key|no route leads to|holds no declaration/, findDecidingLine: ({ declaration }) => declaration },
  { cause: 'no lease', pattern: /no word from control/, findDecidingLine: ({ lease }) => lease },
  { cause: 'primary replaced', pattern: /being replaced|have been replaced|read only/, findDecidingLine: ({ replacement, assignment }) => replacement ?? assignment },
  { cause: 'server silent', pattern: /did not answer|does not answer|was lost|closed the connection|went silent/, findDecidingLine: ({ serverFailure, replacement }) => serverFailure ?? replacement },
  { cause: 'overload', pattern: /busy|connections are in use|more arrives/, findDecidingLine: ({ serverFailure }) => serverFailure },
  { cause: 'replica behind', pattern: /lagging/, findDecidingLine: () => undefined }
]

function isFailure (line: LogLine): boolean {
  return readFact(line, 'failure') !== '' || line.message === 'A session was refused.'
}

/** Traces a request. Undefined: no line has its id. */
export function traceRequest (lines: readonly LogLine[], id: string): Trace | undefined {
  const requestLines = lines.filter(line => line.facts.id === id)
  if (requestLines.length === 0) return undefined
  const lastLine = requestLines[requestLines.length - 1]
  const defectLine = requestLines.find(({ message }) => message === DEFECT_MESSAGE)
  const failureLine = requestLines.filter(isFailure).at(-1)
  const outcome = failureLine === undefined ? lastLine.message : `${readFact(failureLine, 'failure') || readFact(failureLine, 'reason')}: ${readFact(failureLine, 'explanation')}`
  if (failureLine === undefined) return { id, cause: lastLine.message === 'complete' ? 'served' : 'not known', outcome, deciding: undefined, lines: requestLines }
  const context = collectContext(lines, requestLines)
  // The newest explanation comes first. It may hold only a server's name; those of earlier attempts then give the reason.
  const explanations = [outcome, ...requestLines.map(line => `${readFact(line, 'reason')} ${readFact(line, 'explanation')}`).reverse()]
  const rule = explanations.map(explanation => CAUSE_RULES.find(({ pattern }) => pattern.test(explanation))).find(found => found !== undefined)
  const deciding = defectLine ?? rule?.findDecidingLine(context) ?? failureLine
  const contextLines = Object.values(context) as LogLine[]
  const relatedLines = [...new Set([...contextLines, ...requestLines])].sort((left, right) => left.at - right.at)
  return { id, cause: rule?.cause ?? 'not known', outcome, deciding, lines: relatedLines }
}
