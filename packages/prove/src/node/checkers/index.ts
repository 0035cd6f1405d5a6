/** The checkers: each judges a history and knows nothing of the product. */

export * from './accounts.js'
export * from './changes.js'
export * from './log.js'
export * from './session.js'
