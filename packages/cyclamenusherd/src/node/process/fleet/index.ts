/** Entry and control instances of a fleet that is configured by versioned documents. */

export * from './config.js'
export * from './fleetControl.js'
export * from './fleetControlRole.js'
export * from './fleetEntry.js'
export * from './http.js'
export * from './ports.js'
export * from './reloadingSettings.js'
export * from './warmupLedger.js'
export * from '../peers.js'
export type { RunningInstance } from '../instance.js'
export type { PromotionOutcome } from '@cyclamenusher/decisions'
export type { FleetLink } from './fleetLink.js'
