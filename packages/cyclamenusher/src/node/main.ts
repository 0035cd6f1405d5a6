/** The operators' command line. */

import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { cac } from 'cac'
import { FaultyFileError, parseRules } from '@cyclamenusher/decisions'
import { createConnection } from './connection.js'
import { EXIT_CODES, CommandError } from './errors.js'
import { print, printRows } from './output.js'
import type { ConnectionFlags } from './connection.js'

interface CommonFlags extends ConnectionFlags {
  json?: boolean
}

function readRulesFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new CommandError('usage', `${file} can't be read (${(error as NodeJS.ErrnoException).code})`, 'Name a rules file that you may read')
  }
}

function check (file: string, flags: CommonFlags): void {
  const { rules, digest } = parseRules(file, readRulesFile(file))
  const counts = Object.entries(rules).map(([table, { size }]) => `${size} ${table}`).join(', ')
  print(flags, { ok: true, file, digest }, `${file}: the rules are good (${counts}).`)
}

async function apply (file: string, flags: CommonFlags & { number?: number, operator?: string }): Promise<void> {
  const content = readRulesFile(file)
  parseRules(file, content)
  if (!Number.isSafeInteger(flags.number)) {
    throw new CommandError('usage', 'no configuration number was given', 'Give the number that this change makes with --number N; cyclamenusher status shows the newest')
  }
  const connection = createConnection(flags)
  const reply = await connection.submit(BigInt(flags.number ?? 0), content, flags.operator ?? userInfo().username)
  const summary = { outcome: reply.outcome, number: Number(reply.number), winnerDigest: reply.winnerDigest, winnerOperator: reply.winnerOperator, message: reply.message }
  print(flags, summary, reply.message)
  if (reply.outcome === 'accepted') return
  process.exitCode = EXIT_CODES[reply.outcome === 'conflict' ? 'conflict' : reply.outcome === 'unknown' ? 'unknown' : 'refused']
}

async function status (flags: CommonFlags): Promise<void> {
  const connection = createConnection(flags)
  const replies = await connection.statusOfAll()
  if (flags.json === true) return print(flags, replies, '')
  printRows(['instance', 'role', 'term', 'leader', 'commit', 'configuration'], replies.map(reply =>
    [reply.instance, reply.role, reply.term, reply.leader, reply.commitIndex, reply.number]))
  const [first] = replies
  console.log('')
  printRows(['entry instance', 'failure domain', 'address'], first.instances.map(({ name, failureDomain, address }) => [name, failureDomain, address]))
}

async function history (flags: CommonFlags & { from?: number, limit?: number }): Promise<void> {
  const connection = createConnection(flags)
  const items = await connection.history(flags.from ?? 0, flags.limit ?? 100)
  if (flags.json === true) return print(flags, items, '')
  printRows(['number', 'accepted at', 'operator', 'digest'], items.map(item => [item.number, item.acceptedAt, item.operator, item.digest.slice(0, 16)]))
}

async function explain (statement: string, flags: CommonFlags & { account?: string, database?: string, token?: string }): Promise<void> {
  const connection = createConnection(flags)
  const decision = await connection.explain({ account: flags.account ?? '', database: flags.database ?? '', statement, sessionToken: flags.token ?? '' })
  print(flags, JSON.parse(decision), decision)
}

async function drain (flags: CommonFlags & { group?: string, member?: string }): Promise<void> {
  const connection = createConnection(flags)
  const message = await connection.drain(flags.group ?? '', flags.member ?? '')
  print(flags, { message }, message)
}

function fail (error: unknown): void {
  if (error instanceof FaultyFileError) {
    console.error(error.message)
    process.exitCode = EXIT_CODES.invalid
    return
  }
  const known = error instanceof CommandError ? error : new CommandError('unreachable', (error as Error).message, 'Check the addresses and the secret file')
  console.error(known.message)
  process.exitCode = EXIT_CODES[known.kind]
}

/** Runs a command so that each of its errors ends in a message and an exit code. */
function guarded<Arguments extends unknown[]> (command: (...parameters: Arguments) => void | Promise<void>): (...parameters: Arguments) => Promise<void> {
  return async (...parameters) => {
    try {
      await command(...parameters)
    } catch (error) {
      fail(error)
    }
  }
}

const program = cac('cyclamenusher')
program.option('--control <addresses>', 'control instances, HOST:PORT with commas between')
program.option('--entry <address>', 'an entry instance, HOST:PORT')
program.option('--secret-file <file>', 'file with the secret of the system')
program.option('--json', 'answer with JSON')
program.command('check <file>', 'check a rules file without sending it').action(guarded(check))
program.command('apply <file>', 'submit a rules file')
  .option('--number <number>', 'the configuration number that this change makes')
  .option('--operator <name>', 'who submits it (default: your user name)')
  .action(guarded(apply))
program.command('status', 'show the control instances and who is connected').action(guarded(status))
program.command('history', 'list accepted configurations')
  .option('--from <number>', 'first number')
  .option('--limit <count>', 'most numbers to list (default: 100)')
  .action(guarded(history))
program.command('explain <statement>', 'tell where an entry instance would run a statement')
  .option('--account <name>', 'client account')
  .option('--database <name>', 'database')
  .option('--token <text>', 'session token')
  .action(guarded(explain))
program.command('drain', 'let an entry instance, or a backend server, take no new work')
  .option('--group <name>', 'group of the backend server')
  .option('--member <name>', 'the backend server')
  .action(guarded(drain))
program.example('cyclamenusher check rules.toml')
program.example('cyclamenusher apply rules.toml --number 12 --control 127.0.0.1:7100 --secret-file secret')
program.example('cyclamenusher status --control 127.0.0.1:7100,127.0.0.1:7101 --secret-file secret --json')
program.example('cyclamenusher explain "select 1" --account clinic --database padron --entry 127.0.0.1:7001 --secret-file secret')
program.help()
program.version('0.1.0')
try {
  program.parse(process.argv, { run: false })
  if (program.matchedCommand === undefined && program.options.help !== true && program.options.version !== true) {
    throw new CommandError('usage', 'no such command', 'See cyclamenusher --help')
  }
  await program.runMatchedCommand()
} catch (error) {
  fail(error instanceof CommandError ? error : new CommandError('usage', (error as Error).message, 'See cyclamenusher --help'))
}
