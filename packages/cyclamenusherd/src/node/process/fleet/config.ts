/** Settings of an instance in a fleet that is configured by versioned documents. */

import type { RateTolerance, RegionMap, WarmupTolerance } from '@cyclamenusher/decisions'
import type { Address } from '../address.js'
import type { Config } from '../config.js'
import type { CallerLimits, HttpLimits } from '../limits.js'

export interface FleetInstanceConfig {
  name: string
  failureDomain: string
  /** Address at which other instances reach this one. */
  calls: Address
  /** Secret that the instances share. */
  secret: string
  /** Addresses of control instances from the settings, which may change at runtime. */
  seeds: () => readonly Address[]
  log: Config['log']
  metrics: Address
  /** Time between the stop signal and the kill of the process, in milliseconds. */
  graceMilliseconds: number
  /** How far client accounts may exceed their rate. */
  rateTolerance: RateTolerance
  limits: {
    http: HttpLimits
    /** Connections for calls between instances that are not authenticated; the oldest is closed for a further one. */
    silentCalls: number
  }
}

export interface FleetEntryConfig extends FleetInstanceConfig {
  callers: Address
  readiness: Address
  maximumCallers: number
  callerLimits: CallerLimits
  /** Time within which a declaration must be in force at every instance, in milliseconds from its acknowledgement. @default DECLARATION_TRUST_MILLISECONDS */
  declarationTrustMilliseconds?: number
  /** Time after which no statement reaches the servers of a drained failure domain, in milliseconds from the acknowledgement of the order. Undefined: no drains are expected while control is not reached. */
  domainDrainMilliseconds?: number
  /** Regions of the failure domains, and of this instance. @default none */
  regions?: RegionMap
  /** Whether capacity at the servers is kept for the most urgent priority in use. @default false */
  reservesUrgentCapacity?: boolean
}

export interface FleetControlConfig extends FleetInstanceConfig {
  api: Address
  dataFolder: string
  /** Whether this is the first start of the fleet, so that the replicated log may be created. */
  bootstrap: boolean
  /** Number of instances with a disk whose simultaneous loss the fleet must tolerate. */
  toleratedLosses: number
  /** Interval between two announcements of a server, in milliseconds. */
  announceIntervalMilliseconds: number
  /** How long a server takes work after it has announced that it is leaving, in milliseconds. */
  drainMilliseconds: number
  /** Time after which no statement reaches the servers of a drained failure domain, in milliseconds from the acknowledgement of the order. @default DRAIN_BOUND_MILLISECONDS */
  domainDrainMilliseconds?: number
  /** Failure domains that can be drained before a server has announced itself there. @default none */
  failureDomains?: readonly string[]
  /** How far the declared requests to a cold server may be exceeded. @default DEFAULT_WARMUP_TOLERANCE */
  warmupTolerance?: WarmupTolerance
  /** Address of the service that performs promotions; if undefined, no server is promoted. */
  promotion?: Address
}
