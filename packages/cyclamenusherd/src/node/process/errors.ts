/** Errors of the process itself, such as faulty settings, files and addresses. */

/** The process can't start or continue as configured. */
export class ProcessError extends Error {
  override readonly name = 'ProcessError'
  constructor (message: string, readonly remedy: string) {
    super(`${message}. ${remedy}.`)
  }
}
