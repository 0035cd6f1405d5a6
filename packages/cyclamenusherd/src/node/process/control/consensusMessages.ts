/** Encodes the messages between members of the log, and checks each one that arrives. */

import { lookUp } from '@cyclamenusher/decisions'
import { hasFields, isFlag, isListOf, isObject, isOptional, isText } from '../messageFields.js'
import type { ConsensusMessage, LogEntry, LogMember } from '@cyclamenusher/decisions'
import type { FieldCheck, Fields } from '../messageFields.js'

/** Largest term, index or round: far beyond any log, and still far from numbers that can't be counted up exactly. */
const MAXIMUM_COUNT = 2 ** 48

const isCount: FieldCheck = value => Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAXIMUM_COUNT

function isOneOf (words: readonly string[]): FieldCheck {
  return value => typeof value === 'string' && words.includes(value)
}

const isMember = hasFields({ identity: isText, name: isText, failureDomain: isText, host: isText, port: isCount, role: isOneOf(['voter', 'learner'] satisfies Array<LogMember['role']>) })

const ENTRY_FIELDS: Record<LogEntry['kind'], Record<string, FieldCheck>> = {
  command: { index: isCount, term: isCount },
  membership: { index: isCount, term: isCount, members: isListOf(isMember) }
}

const MESSAGE_FIELDS: Record<ConsensusMessage['kind'], Record<string, FieldCheck>> = {
  'pre-vote': { term: isCount, lastIndex: isCount, lastTerm: isCount },
  'pre-vote reply': { term: isCount, campaignTerm: isCount, granted: isFlag, started: isOptional(isFlag) },
  vote: { term: isCount, lastIndex: isCount, lastTerm: isCount, unanimous: isOptional(isFlag) },
  'vote reply': { term: isCount, granted: isFlag },
  append: { term: isCount, previousIndex: isCount, previousTerm: isCount, entries: isListOf(hasFieldsOfKind(ENTRY_FIELDS)), commitIndex: isCount, round: isCount },
  'append reply': { term: isCount, success: isFlag, index: isCount, round: isCount },
  'install snapshot': { term: isCount, index: isCount, snapshotTerm: isCount, members: isListOf(isMember), offset: isCount, data: isText, total: isCount, round: isCount },
  'install snapshot reply': { term: isCount, index: isCount, received: isCount, round: isCount }
}

/** Checks an object with the fields of its kind; kinds of later builds are not known. */
function hasFieldsOfKind (fieldsByKind: Record<string, Record<string, FieldCheck>>): FieldCheck {
  return value => {
    if (!isObject(value)) return false
    const { kind } = value as Fields
    const fields = typeof kind === 'string' ? lookUp(fieldsByKind, kind) : undefined
    return fields !== undefined && hasFields(fields)(value)
  }
}

const isMessage = hasFieldsOfKind(MESSAGE_FIELDS)

export function encodeMessages (messages: readonly ConsensusMessage[]): Uint8Array<ArrayBuffer> {
  return new Uint8Array(Buffer.from(JSON.stringify(messages), 'utf8'))
}

/** Returns the valid messages. Others count as lost, which consensus tolerates; an error in it would end this member's part. @throws SyntaxError */
export function decodeMessages (body: Uint8Array): ConsensusMessage[] {
  const messages = JSON.parse(Buffer.from(body).toString('utf8')) as unknown
  return Array.isArray(messages) ? messages.filter((message): message is ConsensusMessage => isMessage(message)) : []
}
