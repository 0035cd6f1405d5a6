/** The command that shows where an operation would go, and why. */

import { digestKey, lookUp } from '@cyclamenusher/decisions'
import { readFlagFile } from './connection.js'
import { CommandError, EXIT_CODES } from './errors.js'
import { formatRows, formatValue } from './output.js'
import type { ExplanationRefusal, ExplanationReply, ExplanationRequest, LogPosition, OperationExplanation, OperationKind, PlacementExplanation, PlacementOutcome, TokenSource } from '@cyclamenusher/decisions'
import type { CommandEnvironment, CommonFlags } from './commands.js'
import type { Connection } from './connection.js'

export interface WhereFlags extends CommonFlags {
  kind?: string
  account?: string
  keyFile?: string
  position?: string
}

/** What the holder answers; it selects the server where the operation is sent to it. */
type HolderAnswer = { kind: 'answered', reply: ExplanationReply } | { kind: 'failed', reason: string }

const KINDS: Record<OperationKind, OperationKind> = { read: 'read', write: 'write', begin: 'begin' }

const REMEDIES: Record<ExplanationRefusal, string> = {
  'no declaration': 'Wait until the instance has reached control, or ask another one',
  'database unknown': 'Check the name; the declaration in force has no such route',
  'account unknown': 'Check the name; the declaration in force has no such account',
  'key refused': 'Name an account with --account, or another key with --key-file'
}

const TOKEN_SOURCES: Record<TokenSource, string> = {
  'this instance': 'the next operation takes one of them',
  prefetched: 'the next operation takes one that was borrowed ahead',
  loan: 'the next operation borrows one, and is refused if there is none',
  none: 'the next operation is refused'
}

function parseKind (kind = 'read'): OperationKind {
  const known = lookUp(KINDS, kind)
  if (known === undefined) throw new CommandError('usage', `there is no kind of operation ${kind}`, 'Use read, write or begin')
  return known
}

function parsePosition (position: string): LogPosition {
  const match = /^(\d+)\.(\d+)$/.exec(position)
  const parsed = { term: Number(match?.[1]), position: Number(match?.[2]) }
  if (!Number.isSafeInteger(parsed.term) || !Number.isSafeInteger(parsed.position)) throw new CommandError('usage', `"${position}" is not a log position`, 'Write it as TERM.NUMBER')
  return parsed
}

function buildRequest (database: string, { kind, account, keyFile, position }: WhereFlags): ExplanationRequest {
  if (account !== undefined && keyFile !== undefined) throw new CommandError('usage', 'an account and a key were named', 'Use either --account or --key-file')
  return {
    database,
    kind: parseKind(kind),
    ...(account === undefined ? {} : { account }),
    ...(keyFile === undefined ? {} : { keyDigest: digestKey(readFlagFile(keyFile, 'the key').trim()) }),
    ...(position === undefined ? {} : { position: parsePosition(position) })
  }
}

async function askHolder ({ where }: Connection, request: ExplanationRequest, { selection }: OperationExplanation): Promise<HolderAnswer | undefined> {
  if (selection.kind === 'run here') return undefined
  try {
    return { kind: 'answered', reply: await where({ ...request, asHolder: true }, selection.address) }
  } catch (error) {
    return { kind: 'failed', reason: (error as Error).message }
  }
}

function formatPosition (position: LogPosition | undefined): string {
  return position === undefined ? '-' : `${position.term}.${position.position}`
}

const OUTCOME_FORMATS: { [Kind in PlacementOutcome['kind']]: (outcome: Extract<PlacementOutcome, { kind: Kind }>) => string } = {
  selected: ({ member }) => `server ${member}`,
  waits: ({ reason, expectedMilliseconds }) => `it waits for a server: ${reason}${expectedMilliseconds === undefined ? '' : `; the queue is expected to take it after ${expectedMilliseconds} ms`}`,
  refused: ({ reason }) => `it is refused: ${reason}`
}

function formatOutcome (outcome: PlacementOutcome): string {
  return (OUTCOME_FORMATS[outcome.kind] as (outcome: PlacementOutcome) => string)(outcome)
}

function formatPlacement ({ need, outcome, waiting, servers }: PlacementExplanation): string[] {
  const rows = servers.map(({ member, role, failureDomain, position, outstanding, allowed, averageMilliseconds, expectedWaitMilliseconds, selected, reason }) =>
    [member, role, failureDomain, formatPosition(position), `${outstanding}/${allowed}`, `${averageMilliseconds} ms`, expectedWaitMilliseconds === undefined ? '-' : `${expectedWaitMilliseconds} ms`, selected ? 'selected' : reason ?? ''])
  return [
    `needs: ${need.kind === 'primary' ? 'the primary' : `position ${formatPosition(need.position)}`}`,
    `goes to: ${formatOutcome(outcome)}`,
    `waiting requests: ${waiting}`,
    '',
    formatRows(['server', 'role', 'failure domain', 'position', 'outstanding', 'average', 'expected wait', 'why not'], rows)
  ]
}

function formatHolderAnswer (answer: HolderAnswer | undefined): string[] {
  if (answer === undefined) return []
  if (answer.kind === 'failed') return [`the holder selects the server, and could not be asked: ${answer.reason}`]
  if (answer.reply.kind === 'refused') return [`the holder would refuse it: ${answer.reply.explanation}`]
  const { refusal, placement } = answer.reply.explanation
  return [...(refusal === undefined ? [] : [`the holder would refuse it: ${refusal}`]), ...(placement === undefined ? [] : formatPlacement(placement))]
}

function formatSelection ({ instance, selection }: OperationExplanation): string {
  if (selection.kind === 'run here') return `runs at: ${instance}, on its own connections`
  return `runs at: ${selection.name} (${selection.address})${selection.kind === 'send' ? '' : ', after an attempt to reach it'}`
}

function formatExplanation (explanation: OperationExplanation, answer: HolderAnswer | undefined): string {
  const { instance, version, isCurrent, database, kind, route, account, allowedRegions, rate, holders, refusal, placement } = explanation
  const lines = [
    `instance: ${instance}, declaration ${version}${isCurrent ? '' : ', which may not be the newest'}`,
    `operation: ${kind} on database ${database}`,
    `route: ${route.name}, prefix ${route.prefix}, group ${route.group}, policy ${route.readPolicy}${route.maximumStalenessMilliseconds === undefined ? '' : ` (${route.maximumStalenessMilliseconds} ms)`}, priority ${route.priority}`,
    `account: ${account ?? 'none, the route is open'}`,
    ...(allowedRegions === undefined ? [] : [`allowed regions: ${allowedRegions.join(', ') || 'none'}`]),
    ...(rate === undefined ? [] : [`rate: ${rate.tokens} tokens left here, ${rate.prefetched} borrowed ahead, share ${rate.share} of ${rate.ratePerSecond} a second; ${TOKEN_SOURCES[rate.source]}`]),
    ...(refusal === undefined ? [] : [`it is refused: ${refusal}`]),
    formatSelection(explanation)
  ]
  const holderTable = holders.length === 0 ? [] : ['', formatRows(['holder', 'failure domain', 'address', 'state', 'regions'], holders.map(({ name, failureDomain = '-', address, readiness, isAllowed }) => [name, failureDomain, address, readiness, isAllowed ? 'allowed' : 'not allowed']))]
  const details = placement === undefined ? formatHolderAnswer(answer) : formatPlacement(placement)
  return [...lines, ...holderTable, '', ...details].join('\n')
}

export async function where ({ connect, write }: CommandEnvironment, database: string, flags: WhereFlags): Promise<number> {
  const request = buildRequest(database, flags)
  const connection = connect(flags)
  const reply = await connection.where(request)
  if (reply.kind === 'refused') throw new CommandError('refused', reply.explanation, REMEDIES[reply.reason])
  const { explanation } = reply
  const atHolder = await askHolder(connection, request, explanation)
  write(formatValue(flags, { ...explanation, ...(atHolder === undefined ? {} : { atHolder }) }, formatExplanation(explanation, atHolder)))
  return EXIT_CODES.success
}
