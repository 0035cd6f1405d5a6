/** The measuring tool's parts, for tests. */

export * from './deployments.js'
export * from './scenario.js'
export * from './model/rateHistory.js'
