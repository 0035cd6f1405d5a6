/** Agreement on one log: the reducer, its types, and the plans around it. */

export * from './consensus.js'
export * from './founding.js'
export { isCaughtUp, isChanging } from './membership.js'
export * from './repair.js'
export { confirmedSince as leadershipConfirmedSince } from './replication.js'
export * from './types.js'
