/** Defines the commands, flags and examples of the command line, and runs it. */

import { parseArgs } from 'node:util'
import { cac } from 'cac'
import { FaultyFileError } from '@cyclamenusher/decisions'
import { apply, check, domain, drain, explain, history, member, status } from './commands.js'
import { CommandError, EXIT_CODES } from './errors.js'
import { where } from './where.js'
import { trace } from './trace/traceCommand.js'
import type { CAC } from 'cac'
import type { CommandEnvironment } from './commands.js'
import type { WhereFlags } from './where.js'

/** Returns the message and exit code of an error. */
function describeError (error: unknown): { message: string, code: number } {
  if (error instanceof FaultyFileError) return { message: error.message, code: EXIT_CODES.invalid }
  const commandError = error instanceof CommandError ? error : new CommandError('unreachable', (error as Error).message, 'Check the addresses and the secret file')
  return { message: commandError.message, code: EXIT_CODES[commandError.kind] }
}

/** Reads flags as they were written: cac converts values that look like numbers, and makes 3.1 of the position 3.10. */
function readTextFlags ({ rawArgs }: CAC): Pick<WhereFlags, 'account' | 'keyFile' | 'position'> {
  const { values } = parseArgs({ args: rawArgs.slice(2), strict: false, options: { account: { type: 'string' }, 'key-file': { type: 'string' }, position: { type: 'string' } } })
  const { account, 'key-file': keyFile, position } = values as Record<string, string | undefined>
  return { account, keyFile, position }
}

function defineCommands (program: CAC, environment: CommandEnvironment): void {
  program.option('--control <addresses>', 'control instances, as HOST:PORT separated by commas')
  program.option('--entry <address>', 'an entry instance, as HOST:PORT')
  program.option('--secret-file <file>', 'file with the shared secret')
  program.option('--tls-certificate <file>', 'certificate for mutual TLS, if the instances use it')
  program.option('--tls-key <file>', 'private key of the certificate')
  program.option('--tls-authority <file>', 'certificate of the authority that signed those of the instances')
  program.option('--json', 'print JSON')
  program.command('check <file>', 'check a rules file without sending it').action(check.bind(undefined, environment))
  program.command('apply <file>', 'submit a rules file')
    .option('--number <number>', 'number of the new configuration')
    .option('--operator <name>', 'name of the submitter (default: your user name)')
    .action(apply.bind(undefined, environment))
  program.command('status', 'show the control instances and the connected entry instances').action(status.bind(undefined, environment))
  program.command('history', 'list accepted configurations')
    .option('--from <number>', 'first number to list')
    .option('--limit <count>', 'maximum numbers to list (default: 100)')
    .option('--number <number>', 'show the rules of this number')
    .action(history.bind(undefined, environment))
  program.command('member <action> [name]', 'list the control instances, add one or remove one (list, add, remove)').action(member.bind(undefined, environment))
  program.command('domain <action> [name]', 'list the failure domains, drain one or restore one (list, drain, restore)').action(domain.bind(undefined, environment))
  program.command('explain <statement>', 'show where an entry instance would run a statement')
    .option('--account <name>', 'client account')
    .option('--database <name>', 'database')
    .option('--token <text>', 'session token')
    .action(explain.bind(undefined, environment))
  program.command('where <database>', 'show where an operation would go from an entry instance of the platform, without sending it')
    .option('--kind <kind>', 'kind of the operation: read, write or begin (default: read)')
    .option('--account <name>', 'client account')
    .option('--key-file <file>', 'file with a key, in place of an account')
    .option('--position <term.number>', 'log position of the last commit of the session')
    .action(async (database: string, flags: WhereFlags) => await where(environment, database, { ...flags, ...readTextFlags(program) }))
  program.command('drain', 'stop new work on an entry instance, or on a backend server')
    .option('--group <name>', 'group of the backend server')
    .option('--member <name>', 'the backend server')
    .action(drain.bind(undefined, environment))
  program.command('trace <id> [...files]', 'find the cause of a failed request in log files, or in standard input').action(trace.bind(undefined, environment))
  program.example('cyclamenusher check rules.toml')
  program.example('cyclamenusher apply rules.toml --number 12 --control 127.0.0.1:7100 --secret-file secret')
  program.example('cyclamenusher status --control 127.0.0.1:7100,127.0.0.1:7101 --secret-file secret --json')
  program.example('cyclamenusher history --number 11 --control 127.0.0.1:7100 --secret-file secret > rules.toml')
  program.example('cyclamenusher member add control-4 --control 127.0.0.1:7100 --secret-file secret')
  program.example('cyclamenusher domain drain zone-a --control 127.0.0.1:7100 --secret-file secret')
  program.example('cyclamenusher explain "select 1" --account clinic --database padron --entry 127.0.0.1:7001 --secret-file secret')
  program.example('cyclamenusher where padron --kind read --account clinic --entry 127.0.0.1:7001 --secret-file secret')
  program.example('cyclamenusher trace 18a98b52461fb712 entry-1.log entry-2.log control-1.log')
  program.example('cyclamenusher drain --entry 127.0.0.1:7001 --secret-file secret')
}

/** Runs one command line; resolves with its exit code. */
export async function runProgram (argv: string[], environment: CommandEnvironment): Promise<number> {
  const program = cac('cyclamenusher')
  defineCommands(program, environment)
  program.help()
  program.version('0.1.0')
  try {
    program.parse(argv, { run: false })
    if (program.options.help === true || program.options.version === true) return EXIT_CODES.success
    if (program.matchedCommand === undefined) throw new CommandError('usage', `there is no command ${program.args[0] ?? ''}`.trim(), 'See cyclamenusher --help')
  } catch (error) {
    const { message } = error instanceof CommandError ? error : new CommandError('usage', (error as Error).message, 'See cyclamenusher --help')
    environment.writeError(message)
    return EXIT_CODES.usage
  }
  try {
    return await program.runMatchedCommand() as number
  } catch (error) {
    const isUsageError = error instanceof Error && error.name === 'CACError'
    const { message, code } = describeError(isUsageError ? new CommandError('usage', error.message, 'See cyclamenusher --help') : error)
    environment.writeError(message)
    return code
  }
}
