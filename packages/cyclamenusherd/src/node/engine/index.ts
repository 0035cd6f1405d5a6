/** The session engine: runs callers' statements on backend servers, independently of the wire protocols at both ends. */

export * from './callerListener.js'
export * from './callerProtection.js'
export * from './callerSession.js'
export { HOLDER_STREAM, encodeHolderRequest } from './forwarding/messages.js'
export type { HolderService } from './forwarding/holderService.js'
export * from './requestLog.js'
export * from './serverAdministration.js'
export * from './services.js'
export * from './statement.js'
export type { CallerLimits } from '../process/limits.js'
