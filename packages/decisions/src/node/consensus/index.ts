/** Raft consensus on one log: the reducer, its types, and the planning of membership changes. */

export * from './consensus.js'
export * from './founding.js'
export { isCaughtUp, hasUncommittedMembership } from './membership.js'
export * from './repair.js'
export { leadershipConfirmedSince } from './replication.js'
export * from './types.js'
