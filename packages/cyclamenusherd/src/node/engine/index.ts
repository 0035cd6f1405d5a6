/** The protocol-neutral session engine. */

export * from './callerListener.js'
export * from './callerSession.js'
export * from './requestLog.js'
export * from './serverAdministration.js'
export * from './services.js'
export * from './statement.js'
