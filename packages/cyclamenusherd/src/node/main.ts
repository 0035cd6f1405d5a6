/** The daemon: `cyclamenusherd --config FILE`. */

import { cac } from 'cac'
import { FaultyFileError } from '@cyclamenusher/decisions'
import { resolveConfig } from './process/config.js'
import { renderSettings } from './process/settingsTable.js'
import { startInstance } from './process/instance.js'
import type { Config } from './process/config.js'
import type { RunningInstance } from './process/instance.js'

/** Exit codes of the daemon for scripts that start it; listed in docs/OPERATORS.md. */
const EXIT_CODES = { success: 0, failure: 1, usage: 2, settings: 3 } as const

function exit (code: number | string): never {
  process.exit(code)
}

function readConfig (file: string): Config {
  try {
    return resolveConfig(file)
  } catch (error) {
    if (!(error instanceof FaultyFileError)) throw error
    console.error(error.message)
    return exit(EXIT_CODES.settings)
  }
}

function stopOnSignal (instance: RunningInstance): void {
  let signalCount = 0
  const handleSignal = (): void => {
    signalCount += 1
    const shutdown = signalCount === 1 ? instance.stop() : instance.abort()
    shutdown.then(() => exit(process.exitCode ?? EXIT_CODES.success), () => exit(EXIT_CODES.failure))
  }
  process.on('SIGTERM', handleSignal)
  process.on('SIGINT', handleSignal)
}

async function run (flags: { config?: string, check?: boolean, settings?: boolean }): Promise<void> {
  if (flags.settings === true) {
    console.log(renderSettings())
    return
  }
  if (flags.config === undefined) {
    console.error('No settings file is given. Start with cyclamenusherd --config FILE.')
    return exit(EXIT_CODES.usage)
  }
  const config = readConfig(flags.config)
  if (flags.check === true) {
    console.log(`${flags.config}: the settings are valid.`)
    return
  }
  try {
    stopOnSignal(await startInstance(config))
  } catch (error) {
    console.error(`The instance could not start: ${(error as Error).message}. Check the addresses and folders in ${flags.config}.`)
    exit(EXIT_CODES.failure)
  }
}

const program = cac('cyclamenusherd')
program.command('', 'run one instance of the database proxy')
  .option('--config <file>', 'settings file of the instance, in TOML')
  .option('--check', 'check the settings and exit')
  .option('--settings', 'list every setting with its allowed values and its default')
  .example('cyclamenusherd --config entry-1.toml')
  .example('cyclamenusherd --config entry-1.toml --check')
  .action(run)
program.help()
program.version('0.1.0')
try {
  program.parse()
} catch (error) {
  console.error(`${(error as Error).message}. See cyclamenusherd --help.`)
  exit(EXIT_CODES.usage)
}
