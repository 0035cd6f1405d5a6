/**
 * The session token: what a session has written and seen, as places in the logs
 * of the groups that it used. Callers carry it between instances; the signature
 * keeps them from naming places that no server reached.
 */

import { createHmac, timingSafeEqual } from 'node:crypto'
import { laterPosition } from './position.js'
import type { LogPosition } from './position.js'

/** Groups that one token can name; the least recently used ones go first. */
export const MAXIMUM_TOKEN_GROUPS = 16
/** Longest token that is read, in characters. */
export const MAXIMUM_TOKEN_CHARACTERS = 4_096
/** Bytes of the signature that travel. */
const SIGNATURE_BYTES = 16

/** Places by group, least recently used first. */
export type SessionToken = ReadonlyMap<string, LogPosition>

export const EMPTY_TOKEN: SessionToken = new Map()

/** A token that can't be read: cut short, changed or signed with another secret. */
export class SessionTokenError extends Error {
  override readonly name = 'SessionTokenError'
}

/** The token with the session's place in `group` moved forward to `at`. */
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

/** The token as text: a base64url body, a dot and a signature. */
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
 * Reads a token.
 *
 * @throws SessionTokenError when it is not one that this system signed
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
