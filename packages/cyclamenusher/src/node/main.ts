/** Entry point of `cyclamenusher`, the command line for operators. */

import { createConnection } from './connection.js'
import { runProgram } from './program.js'

process.exitCode = await runProgram(process.argv, {
  connect: createConnection,
  write: text => { console.log(text) },
  writeError: text => { console.error(text) }
})
