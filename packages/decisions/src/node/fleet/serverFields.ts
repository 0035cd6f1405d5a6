/**
 * Checks the fields of what names a backend server: announcements, and the entries that
 * come back from the log, a snapshot or another instance. An entry that fails is left out
 * where it is read, because whoever wrote it is no server of this fleet.
 */

import { lookUp } from '../lookUp.js'
import type { ServerAnnouncement } from './directory.js'

/** Names are parts of lines on the wire: without spaces and control characters. */
const NAME_PATTERN = /^[^\s\p{C}]{1,200}$/u
/** Addresses of hosts: the first byte is from 1 to 223, as 0 names no host and multicast begins at 224. */
const IPV4_PATTERN = /^(?:[1-9]\d?|1\d\d|2[01]\d|22[0-3])(?:\.(?:\d|[1-9]\d|1\d\d|2[0-4]\d|25[0-5])){3}$/
const IPV6_PATTERN = /^(?=.*:)[0-9a-f:]{2,39}$/i
const HIGHEST_PORT = 65_535
/** Most statements that a server runs concurrently: PostgreSQL's limit of connections. */
const MAXIMUM_SLOTS = 262_143
/** Latest start of a server's process, in milliseconds since 1970: the year 2100. A later one would hide all announcements that follow. */
const LATEST_START = Date.UTC(2100, 0, 1)
/** Highest number of an announcement: a century of them, one a second. */
const MAXIMUM_SEQUENCE = 2 ** 32 - 1
/** Longest time for which a server can be cold, in milliseconds: a day. */
const MAXIMUM_WARMUP_MILLISECONDS = 24 * 60 * 60 * 1_000

type FieldCheck = (value: unknown) => boolean

function isIntegerBetween (lowest: number, highest: number): FieldCheck {
  return value => Number.isInteger(value) && Number(value) >= lowest && Number(value) <= highest
}

/** Whether a name can be sent on the wire. */
export const isServerName: FieldCheck = value => typeof value === 'string' && NAME_PATTERN.test(value)

export const isPort: FieldCheck = isIntegerBetween(1, HIGHEST_PORT)

/** Whether a server's process can have started then; 0 if the server does not report it. */
export const isStartTime: FieldCheck = isIntegerBetween(0, LATEST_START)

const isHost: FieldCheck = value => typeof value === 'string' && (IPV4_PATTERN.test(value) || IPV6_PATTERN.test(value))

const isWarmup = isIntegerBetween(0, MAXIMUM_WARMUP_MILLISECONDS)

const FIELD_CHECKS: Record<keyof ServerAnnouncement, FieldCheck> = {
  member: isServerName,
  group: isServerName,
  host: isHost,
  port: isPort,
  failureDomain: isServerName,
  slots: isIntegerBetween(0, MAXIMUM_SLOTS),
  leaving: value => typeof value === 'boolean',
  role: value => value === 'primary' || value === 'replica',
  bornAt: isStartTime,
  sequence: isIntegerBetween(0, MAXIMUM_SEQUENCE),
  warmupMilliseconds: value => value === undefined || isWarmup(value)
}

const CHECKS = Object.entries(FIELD_CHECKS)

/** Returns the first field that is missing or out of its range; undefined if the entry can be used. */
export function findServerFault (entry: unknown): string | undefined {
  if (typeof entry !== 'object' || entry === null) return 'entry'
  const fields = entry as Record<string, unknown>
  return CHECKS.find(([field, check]) => !check(lookUp(fields, field)))?.[0]
}
