/** Checks that an answer of a primary still counts when it is passed on. */

import { estimateLeaseReturn } from '@cyclamenusher/decisions'
import { pause } from '../process/clock.js'
import type { Clock } from '../process/clock.js'
import type { FleetLink } from '../process/fleet/fleetLink.js'

/** Interval at which a lapsed lease is checked for its renewal, in milliseconds. */
const LEASE_POLL_INTERVAL_MILLISECONDS = 20

/** Whether this instance has no lease, and is not to expect it back soon. */
export function isLeaseOverdue (link: FleetLink, clock: Clock): boolean {
  // A lease that was lost in a suspension has no end any more.
  return !link.isLeased() && estimateLeaseReturn(Math.max(link.leasedUntil(), link.resumedAt()), clock.now()) === Infinity
}

/** Waits until `deadline` for the lease of this instance. Resolves with whether it is held. */
export async function awaitLease (link: FleetLink, clock: Clock, deadline: number): Promise<boolean> {
  while (!link.isLeased()) {
    if (clock.now() >= deadline) return false
    await pause(LEASE_POLL_INTERVAL_MILLISECONDS)
  }
  return true
}

/**
 * Whether a commit that another instance has received from a primary may be
 * acknowledged: this instance has a lease, for which it waits until `deadline`, and
 * knows of no later primary.
 */
export async function confirmDesignation (link: FleetLink, clock: Clock, group: string, primary: { member: string, designation: number }, deadline: number): Promise<boolean> {
  if (!await awaitLease(link, clock, deadline)) return false
  const assignment = link.primaryAssignment(group)
  // The other instance may have learned of a designation earlier.
  if (assignment === undefined || assignment.designation < primary.designation) return true
  return assignment.designation === primary.designation && assignment.member === primary.member && assignment.use !== 'closed'
}
