/** Settings of an instance in a fleet that is declared by versioned documents. */

import type { RateTolerance } from '@cyclamenusher/decisions'
import type { Address } from '../address.js'
import type { Config } from '../config.js'

export interface FleetInstanceConfig {
  name: string
  failureDomain: string
  /** Where other instances reach this one. */
  calls: Address
  /** Secret that the instances share. */
  secret: string
  /** Control instances that the settings name; read again when they may have changed. */
  seeds: () => readonly Address[]
  log: Config['log']
  metrics: Address
  /** Time from the signal to stop until the process is killed, in milliseconds. */
  graceMilliseconds: number
  /** How far client accounts may exceed their rate. */
  rateTolerance: RateTolerance
}

export interface FleetEntryConfig extends FleetInstanceConfig {
  callers: Address
  readiness: Address
  maximumCallers: number
}

export interface FleetControlConfig extends FleetInstanceConfig {
  api: Address
  dataFolder: string
  /** Whether this is the first start of the whole fleet. */
  bootstrap: boolean
  /** Instances with a disk whose loss at once must be borne. */
  toleratedLosses: number
  /** Time between two announcements of a server, in milliseconds. */
  announceIntervalMilliseconds: number
  /** Time for which a server takes work after it has announced that it leaves, in milliseconds. */
  drainMilliseconds: number
  /** Where promotions are ordered; undefined: nothing is promoted. */
  promotion?: Address
}
