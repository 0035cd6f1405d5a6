/** What the control of a group does about servers in drained failure domains. */

import type { KnownServer } from './directory.js'
import type { GroupStep } from './groupTypes.js'

function findDeadline ({ environment }: GroupStep, { failureDomain }: KnownServer): number | undefined {
  return environment.drains?.get(failureDomain)?.until
}

/** Whether the server's failure domain is drained. */
export function isDrained (step: GroupStep, server: KnownServer): boolean {
  return findDeadline(step, server) !== undefined
}

/** Whether a server in a drained failure domain has to be closed now, if its closing takes up to `reserveMilliseconds`. */
export function isDrainDue (step: GroupStep, server: KnownServer | undefined, reserveMilliseconds: number): boolean {
  const deadline = server === undefined ? undefined : findDeadline(step, server)
  return deadline !== undefined && step.environment.now > deadline - reserveMilliseconds
}

/**
 * Of the members, those that may be asked for their status. After the bound of a drain
 * nothing is sent to its servers, except to the primary while it is being replaced.
 */
export function filterAskable (step: GroupStep, members: readonly string[], isReplacing: () => boolean): readonly string[] {
  const { state, environment } = step
  if (environment.drains === undefined || environment.drains.size === 0) return members
  return members.filter(member => {
    const server = environment.servers.find(candidate => candidate.member === member)
    return !isDrainDue(step, server, 0) || (member === state.designation?.member && isReplacing())
  })
}
