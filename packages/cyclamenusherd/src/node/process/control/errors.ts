/** Errors of the replicated log on its disk. */

import { ProcessError } from '../errors.js'

const REJOIN_REMEDY = 'Move the data folder away and start again: the instance comes back as a new member and receives the state from the others'

/** What the data folder holds is damaged, other than by a write that was cut short. */
export class DamagedLogError extends ProcessError {
  constructor (file: string, location: string, problem: string) {
    super(`${file} is damaged at ${location}: ${problem}`, REJOIN_REMEDY)
  }
}

/** The disk did not take a write, or did not sync it. */
export class DiskError extends ProcessError {
  constructor (folder: string, cause: Error) {
    super(`the disk under ${folder} failed: ${cause.message}`, 'Free space or mend the disk, then start the instance again')
  }
}
