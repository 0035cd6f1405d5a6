/** Checkers of histories; they do not depend on the product's code. */

export * from './accounts.js'
export * from './changes.js'
export * from './log.js'
export * from './session.js'
