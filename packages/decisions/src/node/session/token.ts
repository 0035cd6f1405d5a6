/**
 * The session token: for each group that a session used, the log position up to
 * which it has written or read. Callers pass it from one instance to another; the
 * signature keeps them from claiming positions that no server has reached.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'
import { laterPosition } from './position.js'
import type { LogPosition } from './position.js'

/** Maximum number of groups in a token; the least recently used ones are dropped first. */
export const MAXIMUM_TOKEN_GROUPS = 16
/** Maximum length of an accepted token, in characters. */
export const MAXIMUM_TOKEN_CHARACTERS = 4_096
/** Length of the truncated signature, in bytes. */
const SIGNATURE_BYTES = 16

/** Log positions by group, least recently used first. */
export type SessionToken = ReadonlyMap<string, LogPosition>

export const EMPTY_TOKEN: SessionToken = new Map()

/** Thrown for a token that can't be read: too long, truncated, changed, of an unknown layout or signed with another secret. */
export class SessionTokenError extends Error {
  override readonly name = 'SessionTokenError'
}

/** Returns the token with the position in `group` advanced to `at`; an earlier `at` changes no position. */
export function advanceToken (token: SessionToken, group: string, at: LogPosition): SessionToken {
  const advanced = new Map(token)
  const known = advanced.get(group)
  advanced.delete(group)
  advanced.set(group, known === undefined ? at : laterPosition(known, at))
  while (advanced.size > MAXIMUM_TOKEN_GROUPS) {
    const [oldest] = advanced.keys()
    advanced.delete(oldest)
  }
  return advanced
}

function sign (body: string, secret: string): string {
  return createHmac('sha256', secret).update(`session token ${body}`).digest().subarray(0, SIGNATURE_BYTES).toString('base64url')
}

/** Encodes a token as text: a base64url body, a dot and a signature. */
export function encodeToken (token: SessionToken, secret: string): string {
  const entries = [...token].map(([group, { term, position }]) => [group, term, position])
  const body = Buffer.from(JSON.stringify(entries), 'utf8').toString('base64url')
  return `${body}.${sign(body, secret)}`
}

function isTokenEntry (entry: unknown): entry is [string, number, number] {
  if (!Array.isArray(entry) || entry.length !== 3) return false
  const [group, term, position] = entry as unknown[]
  return typeof group === 'string' && Number.isSafeInteger(term) && Number.isSafeInteger(position)
}

/**
 * Verifies and decodes a token.
 *
 * @throws SessionTokenError if it is too long, not signed by this system or of an unknown layout
 */
export function decodeToken (text: string, secret: string): SessionToken {
  if (text === '') return EMPTY_TOKEN
  if (text.length > MAXIMUM_TOKEN_CHARACTERS) throw new SessionTokenError('the session token is too long: give back the last one received, unchanged')
  const [body, signature, ...rest] = text.split('.')
  const expected = Buffer.from(sign(body, secret))
  const given = Buffer.from(signature ?? '')
  if (rest.length > 0 || given.length !== expected.length || !timingSafeEqual(given, expected)) {
    throw new SessionTokenError('the session token is not one of this system: give back the last one received, unchanged')
  }
  const entries: unknown = JSON.parse(Buffer.from(body, 'base64url').toString('utf8'))
  if (!Array.isArray(entries) || entries.length > MAXIMUM_TOKEN_GROUPS || !entries.every(isTokenEntry)) {
    throw new SessionTokenError('the session token has an unknown layout: start a session without one')
  }
  return new Map(entries.map(([group, term, position]) => [group, { term, position }]))
}
