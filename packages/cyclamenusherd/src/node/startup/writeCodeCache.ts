/** Writes the code cache of a bundled program. Runs at build time, with the flags of Node.js with which the program will run. */

import { writeFileSync } from 'node:fs'
import { setFlagsFromString } from 'node:v8'
import { CODE_CACHE_SUFFIX, compileProgram } from './loadProgram.js'

export { compileProgram }

/** Compiles every function of the program, not just those that are called while it loads. */
export function writeCodeCache (file: string): void {
  setFlagsFromString('--no-lazy')
  const script = compileProgram(file)
  // V8 compares its flags with those of the cache.
  setFlagsFromString('--lazy')
  writeFileSync(`${file}${CODE_CACHE_SUFFIX}`, script.createCachedData())
}
