/** Errors of the process itself: settings, files, addresses. */

/** The process can't start or go on as its settings ask. */
export class ProcessError extends Error {
  override readonly name = 'ProcessError'
  constructor (message: string, readonly remedy: string) {
    super(`${message}. ${remedy}.`)
  }
}
