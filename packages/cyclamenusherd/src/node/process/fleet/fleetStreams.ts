/** The streams of calls between the instances of a fleet: renewals of leases, loans of rates, and operations at the instances that hold connections. */

import { EncodedReply, acceptStreamCalls } from '@cyclamenusher/protocol'
import { HOLDER_STREAM } from '../../engine/index.js'
import { checkFields, isNumber, isText } from '../messageFields.js'
import { createRenewalReader } from './renewalFields.js'
import type { BorrowReply, BorrowRequest, RenewReply, RenewRequest, SharedGrant } from '@cyclamenusher/decisions'
import type { MessageStream, MessageStreamHandlers, StreamRoutes } from '@cyclamenusher/protocol'
import type { ScopedLogger } from '../logger.js'
import type { FieldCheck } from '../messageFields.js'

export const RENEWAL_STREAM = 'renewals'
export const LOAN_STREAM = 'loans'

const LOAN_FIELDS: Record<string, FieldCheck> = { account: isText, wanted: isNumber }

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
  const readRenewal = createRenewalReader(logger)
  if (renew !== undefined) streams.set(RENEWAL_STREAM, acceptStreamCalls(async (request, signal) => encodeRenewReply(await renew(readRenewal(request), signal)), logRefusal(RENEWAL_STREAM)))
  return streams
}
