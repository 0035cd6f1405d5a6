/** Metrics of the queues of groups and of the load at backend servers. */

import type { Metrics } from '../process/metrics.js'

/** Why a waiting request was refused. */
export type QueueRefusal = 'no lease' | 'primary replaced' | 'overload' | 'connections in use' | 'behind urgent' | 'account share'

/** Load of one server, as seen from this instance. */
export interface ServerUse {
  group: string
  member: string
  outstanding: number
  /** Share of the statements reserved for the most urgent priority that is in use, from 0 to 1. */
  reservedUse: number
}

export interface PoolMetrics {
  recordRefusal: (reason: QueueRefusal, priority: number) => void
  recordServer: (use: ServerUse) => void
  removeServer: (server: Pick<ServerUse, 'group' | 'member'>) => void
  /** Sets the metrics that are kept from now on. */
  setMetrics: (metrics: Metrics) => void
}

export function createPoolMetrics (): PoolMetrics {
  let metrics: Metrics | undefined
  return {
    recordRefusal: (reason, priority) => { metrics?.queueRefusals.inc({ reason, priority }) },
    recordServer: ({ group, member, outstanding, reservedUse }) => {
      metrics?.serverOutstanding.set({ group, member }, outstanding)
      metrics?.reservedUse.set({ group, member }, reservedUse)
    },
    removeServer: ({ group, member }) => {
      metrics?.serverOutstanding.remove({ group, member })
      metrics?.reservedUse.remove({ group, member })
    },
    setMetrics: target => { metrics = target }
  }
}
