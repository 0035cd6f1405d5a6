/** The streams of calls between the instances of a fleet: renewals of leases, loans of rates, and operations at the instances that hold connections. */

import { isPort } from '@cyclamenusher/decisions'
import { EncodedReply, acceptStreamCalls } from '@cyclamenusher/protocol'
import { HOLDER_STREAM } from '../../engine/index.js'
import { hasFields, isFlag, isListOf, isNumber, isObject, isOptional, isRecordOf, isText } from '../messageFields.js'
import type { BorrowReply, BorrowRequest, RenewReply, RenewRequest, SharedGrant } from '@cyclamenusher/decisions'
import type { MessageStream, MessageStreamHandlers, StreamRoutes } from '@cyclamenusher/protocol'
import type { ScopedLogger } from '../logger.js'
import type { FieldCheck, Fields } from '../messageFields.js'

export const RENEWAL_STREAM = 'renewals'
export const LOAN_STREAM = 'loans'

/** Types only: an entry whose values are out of range is left out where it is merged, and its sender keeps its lease. */
const SERVER_FIELDS: Record<string, FieldCheck> = {
  member: isText,
  group: isText,
  host: isText,
  port: isNumber,
  failureDomain: isText,
  slots: isNumber,
  leaving: isFlag,
  role: isText,
  bornAt: isNumber,
  sequence: isNumber,
  gone: isFlag
}

const RENEWAL_FIELDS: Record<string, FieldCheck> = {
  name: isText,
  incarnation: isText,
  failureDomain: isText,
  knows: hasFields({ term: isNumber, change: isNumber }),
  version: isNumber,
  demand: isRecordOf(isNumber),
  sightings: isRecordOf(hasFields({ answeredAgo: isOptional(isNumber), failingFor: isOptional(isNumber) })),
  busy: isListOf(isText),
  lendsAt: isOptional(hasFields({ host: isText, port: isPort })),
  holds: isOptional(isFlag),
  holdMilliseconds: isNumber,
  servers: isOptional(isListOf(hasFields(SERVER_FIELDS))),
  parts: isOptional(isRecordOf(isNumber)),
  loans: isOptional(hasFields({ completeFor: isNumber, loans: isListOf(hasFields({ account: isText, operations: isNumber, ago: isNumber })) }))
}

const LOAN_FIELDS: Record<string, FieldCheck> = { account: isText, wanted: isNumber }

/** Checks the fields of a request that another instance sent. @throws Error */
function checkFields<Request> (kind: string, value: unknown, checks: Record<string, FieldCheck>): Request {
  const fields = (isObject(value) ? value : {}) as Fields
  for (const [field, check] of Object.entries(checks)) {
    if (!check(fields[field])) throw new Error(`a ${kind} has no valid field ${field}`)
  }
  return value as Request
}

/** Checks a renewal, every field of which is used later, when an error could not be answered any more. @throws Error */
export function checkRenewal (value: unknown): RenewRequest {
  return checkFields('renewal', value, RENEWAL_FIELDS)
}

/** @throws Error */
export function checkLoan (value: unknown): BorrowRequest {
  return checkFields('loan', value, LOAN_FIELDS)
}

const encodedGrants = new WeakMap<SharedGrant, string>()

/** Encodes a reply; what many instances share is encoded once. */
function encodeRenewReply (reply: RenewReply): unknown {
  if (reply.kind !== 'granted') return reply
  const { shared, ...own } = reply
  const encoded = encodedGrants.get(shared) ?? JSON.stringify(shared)
  encodedGrants.set(shared, encoded)
  return new EncodedReply(`${JSON.stringify(own).slice(0, -1)},"shared":${encoded}}`)
}

export interface FleetStreamHandlers {
  renew?: (request: RenewRequest, signal: AbortSignal) => Promise<RenewReply>
  borrow: (request: BorrowRequest) => Promise<BorrowReply> | BorrowReply
  /** Accepts the operations of another instance. */
  operations?: (stream: MessageStream) => MessageStreamHandlers
}

/** The streams that an instance accepts; only a control instance renews leases. */
export function createFleetStreams ({ renew, borrow, operations }: FleetStreamHandlers, logger: ScopedLogger): StreamRoutes {
  const logRefusal = (stream: string) => (reason: string): void => { logger.warn('A stream was ended, because a request on it could not be answered.', { stream, reason }) }
  const loans = acceptStreamCalls(async request => await borrow(checkLoan(request)), logRefusal(LOAN_STREAM))
  const streams = new Map([[LOAN_STREAM, loans]])
  if (operations !== undefined) streams.set(HOLDER_STREAM, operations)
  if (renew !== undefined) streams.set(RENEWAL_STREAM, acceptStreamCalls(async (request, signal) => encodeRenewReply(await renew(checkRenewal(request), signal)), logRefusal(RENEWAL_STREAM)))
  return streams
}
