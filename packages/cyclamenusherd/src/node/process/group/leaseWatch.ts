/**
 * Closes the connections that are lent for writes at a replaced primary. Its
 * commits can't be acknowledged any more, and if it is frozen or unreachable,
 * its callers would wait until their requests time out.
 */

import { highestTerm } from '@cyclamenusher/decisions'
import type { GroupView } from '@cyclamenusher/decisions'
import type { BackendConnection } from '../../connection/backendConnection.js'

/** Time that a replaced primary has to answer before its connections are closed, in milliseconds. */
const ANSWER_GRACE_MILLISECONDS = 50

export interface LeaseWatch {
  /** Watches a connection lent for writes in `term`; the returned function ends the watch. */
  add: (term: number, backend: BackendConnection) => () => void
  /** Closes connections of earlier terms if the view has a new term. */
  check: (view: GroupView) => void
}

export function createLeaseWatch (): LeaseWatch {
  const leases = new Set<{ term: number, backend: BackendConnection }>()
  let checkedTerm = 0
  return {
    add: (term, backend) => {
      const lease = { term, backend }
      leases.add(lease)
      return () => { leases.delete(lease) }
    },
    check: view => {
      const term = highestTerm(view)
      if (term <= checkedTerm) return
      checkedTerm = term
      const replaced = [...leases].filter(lease => lease.term < term)
      if (replaced.length === 0) return
      setTimeout(() => {
        for (const lease of replaced) if (leases.has(lease)) lease.backend.close()
      }, ANSWER_GRACE_MILLISECONDS)
    }
  }
}
