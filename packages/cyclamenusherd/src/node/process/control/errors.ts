/** Errors of the replicated log's storage. */

import { ProcessError } from '../errors.js'

const REJOIN_REMEDY = 'Move the data folder away and restart the instance: it returns as a new member and receives the state from the others'

/** The data folder is damaged in a way that an interrupted write does not explain. */
export class DamagedLogError extends ProcessError {
  constructor (file: string, location: string, problem: string) {
    super(`${file} is damaged at ${location}: ${problem}`, REJOIN_REMEDY)
  }
}

/** A write or a sync to disk failed. What the files hold is unknown until they are written anew. */
export class DiskError extends ProcessError {
  constructor (folder: string, cause: Error) {
    super(`the disk under ${folder} failed: ${cause.message}`, 'Free space or repair the disk: the instance takes part again once the disk takes writes')
  }
}
