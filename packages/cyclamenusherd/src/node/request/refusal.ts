/** Errors that the instance itself sends to a caller, with their SQLSTATEs. */

import { buildErrorResponse } from '@cyclamenusher/protocol'

/** SQLSTATE by the reason of the refusal. */
export const REFUSAL_CODES = {
  'key refused': '28P01',
  'account unknown': '28000',
  'database unknown': '3D000',
  'access denied': '42501',
  'rate exceeded': '53400',
  'too many connections': '53300',
  'not supported': '0A000',
  'rules not fresh': '57P03',
  'no server': '57P03',
  'shutting down': '57P01',
  'protocol broken': '08P01',
  'token refused': '22023',
  timeout: '57014',
  'server lost': '08006',
  'outcome unknown': '08007',
  'statement unknown': '26000',
  'statement exists': '42P05',
  'transaction failed': '25P02',
  'setting refused': '22023',
  'idle in transaction': '25P03',
  'limit exceeded': '54000'
} as const

export type RefusalKind = keyof typeof REFUSAL_CODES

/** Whether any part of the request can have run. "stopped": it may have started, but had no lasting effect. */
export type RunState = 'not run' | 'unknown' | 'stopped'

const RUN_STATE_DETAILS: Record<RunState, string> = {
  'not run': 'The request has not run: it is safe to send it again.',
  unknown: 'Whether the request ran is not known: look before sending it again.',
  stopped: 'The request was stopped and had no effect that lasts.'
}

/** Error that is sent to the caller in place of the backend server's reply. */
export class RefusalError extends Error {
  override readonly name = 'RefusalError'
  constructor (readonly kind: RefusalKind, message: string, readonly runState: RunState = 'not run', readonly hint?: string) {
    super(message)
  }
}

export function buildRefusalResponse (error: RefusalError, severity: 'ERROR' | 'FATAL' = 'ERROR'): Buffer {
  return buildErrorResponse({
    severity,
    code: REFUSAL_CODES[error.kind],
    message: error.message,
    detail: RUN_STATE_DETAILS[error.runState],
    hint: error.hint
  })
}
