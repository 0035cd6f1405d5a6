/** The parts of the measuring tool that other packages use. */

export * from './deployments.js'
export * from './scenario.js'
export * from './model/rateHistory.js'
