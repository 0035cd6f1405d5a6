/**
 * Ends what still runs at a primary that was replaced. Its commits can't be
 * acknowledged any more, and a frozen or cut off one would keep its callers
 * until their requests time out.
 */

import { highestTerm } from '@cyclamenusher/decisions'
import type { GroupView } from '@cyclamenusher/decisions'
import type { BackendConnection } from '../../connection/backendConnection.js'

/** Time that a replaced primary has to answer by itself, in milliseconds. */
const ANSWER_GRACE_MILLISECONDS = 50

export interface LeaseWatch {
  /** Watches a connection lent for writes in `term`; the result ends the watch. */
  add: (term: number, backend: BackendConnection) => () => void
  /** Takes news of the group. */
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
