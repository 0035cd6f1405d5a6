/** Validates announcements of backend servers: anyone with the shared secret can send one. */

import { isIP } from 'node:net'
import type { Announcement } from '@cyclamenusher/protocol'
import type { MemberAnnouncement } from './directory.js'

/** An announcement has an invalid field; the message names the field and what it should hold. */
export class AnnouncementError extends Error {
  override readonly name = 'AnnouncementError'
}

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/
const NAME_SHAPE = 'a name of letters, digits, ".", "_" and "-", at most 63 long'
const ROLES: ReadonlySet<string> = new Set(['primary', 'replica'])
const HIGHEST_PORT = 65_535

function requireThat (condition: boolean, field: string, shape: string): void {
  if (!condition) throw new AnnouncementError(`the announcement's ${field} can't be used: give ${shape}`)
}

function readCount (value: bigint, field: string): number {
  requireThat(value >= 0n && value <= BigInt(Number.MAX_SAFE_INTEGER), field, 'a whole number below 2^53')
  return Number(value)
}

/**
 * Converts and validates an announcement.
 *
 * @throws AnnouncementError if a field is invalid
 */
export function readAnnouncement (message: Announcement): MemberAnnouncement {
  const { group, member, role, host, port, failureDomain, leaving } = message
  requireThat(NAME_PATTERN.test(group), 'group', NAME_SHAPE)
  requireThat(NAME_PATTERN.test(member), 'member', NAME_SHAPE)
  requireThat(NAME_PATTERN.test(failureDomain), 'failure domain', NAME_SHAPE)
  requireThat(ROLES.has(role), 'role', '"primary" or "replica"')
  // The host is inserted into statements that other servers run, so only a literal IP address is safe.
  requireThat(isIP(host) !== 0 && !host.includes('%'), 'host', 'an IP number')
  requireThat(port >= 1 && port <= HIGHEST_PORT, 'port', `a number from 1 to ${HIGHEST_PORT}`)
  return {
    group,
    member,
    role,
    term: readCount(message.term, 'term'),
    logTerm: readCount(message.logTerm, 'log term'),
    position: readCount(message.position, 'position'),
    host,
    port,
    failureDomain,
    leaving,
    sequence: readCount(message.sequence, 'sequence')
  }
}
