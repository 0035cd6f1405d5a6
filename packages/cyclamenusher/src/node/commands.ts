/** The commands of the command line. Each resolves with its exit code. */

import { readFileSync } from 'node:fs'
import { userInfo } from 'node:os'
import { lookUp, parseRules } from '@cyclamenusher/decisions'
import { CommandError, EXIT_CODES } from './errors.js'
import { formatRows, formatValue } from './output.js'
import type { Connection, ConnectionFlags, ControlStatus, MemberEntry } from './connection.js'

export interface CommonFlags extends ConnectionFlags {
  json?: boolean
}

/** What a command uses outside its own code: calls to instances, and output. */
export interface CommandEnvironment {
  connect: (flags: ConnectionFlags) => Connection
  write: (text: string) => void
  writeError: (text: string) => void
}

function readRulesFile (file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new CommandError('usage', `${file} can't be read (${(error as NodeJS.ErrnoException).code})`, 'Name a rules file that you can read')
  }
}

export async function check ({ write }: CommandEnvironment, file: string, flags: CommonFlags): Promise<number> {
  const { rules, digest } = parseRules(file, readRulesFile(file))
  const counts = Object.entries(rules).map(([table, { size }]) => `${size} ${table}`).join(', ')
  write(formatValue(flags, { ok: true, file, digest }, `${file}: the rules are valid (${counts}).`))
  return EXIT_CODES.success
}

/** Exit codes for control's outcomes of a submission. */
const OUTCOME_EXIT_CODES: Record<string, number> = { accepted: EXIT_CODES.success, conflict: EXIT_CODES.conflict, unknown: EXIT_CODES.unknown, invalid: EXIT_CODES.refused, 'not leader': EXIT_CODES.unreachable }

export async function apply ({ connect, write }: CommandEnvironment, file: string, flags: CommonFlags & { number?: number, operator?: string }): Promise<number> {
  const content = readRulesFile(file)
  parseRules(file, content)
  const { number = 0 } = flags
  if (!Number.isSafeInteger(number) || number < 1) {
    throw new CommandError('usage', 'no configuration number was given', 'Give the number of the new configuration with --number N; cyclamenusher status shows the current number')
  }
  const reply = await connect(flags).submit(BigInt(number), content, flags.operator ?? userInfo().username)
  const { outcome, winnerDigest, winnerOperator, message } = reply
  write(formatValue(flags, { outcome, number: Number(reply.number), winnerDigest, winnerOperator, message }, message))
  return lookUp(OUTCOME_EXIT_CODES, outcome) ?? EXIT_CODES.refused
}

/** Returns the leader's status, or the one with the highest configuration number where no leader answered. */
function selectBestStatus (replies: ControlStatus[]): ControlStatus {
  return replies.find(({ role }) => role === 'leader') ?? replies.reduce((best, reply) => reply.number > best.number ? reply : best)
}

export async function status ({ connect, write }: CommandEnvironment, flags: CommonFlags): Promise<number> {
  const replies = await connect(flags).fetchStatuses()
  const controlTable = formatRows(['instance', 'role', 'term', 'leader', 'commit', 'configuration'], replies.map(reply =>
    [reply.instance, reply.role, reply.term, reply.leader, reply.commitIndex, reply.number]))
  const entryTable = formatRows(['entry instance', 'failure domain', 'address'], selectBestStatus(replies).instances.map(({ name, failureDomain, address }) => [name, failureDomain, address]))
  write(formatValue(flags, replies, `${controlTable}\n\n${entryTable}`))
  return EXIT_CODES.success
}

export async function history ({ connect, write }: CommandEnvironment, flags: CommonFlags & { from?: number, limit?: number, number?: number }): Promise<number> {
  const connection = connect(flags)
  if (flags.number !== undefined) return await showConfiguration({ connection, write }, flags.number, flags)
  const items = (await connection.history(flags.from ?? 0, flags.limit ?? 100, false)).map(({ content, ...item }) => item)
  const rows = formatRows(['number', 'accepted at', 'operator', 'digest'], items.map(item => [item.number, item.acceptedAt, item.operator, item.digest.slice(0, 16)]))
  write(formatValue(flags, items, rows))
  return EXIT_CODES.success
}

async function showConfiguration ({ connection, write }: { connection: Connection, write: (text: string) => void }, number: number, flags: CommonFlags): Promise<number> {
  const item = (await connection.history(number, 1, true)).find(found => found.number === number)
  if (item === undefined) throw new CommandError('refused', `configuration ${number} is not in the history`, 'cyclamenusher history lists the numbers')
  if (item.content === '' && flags.json !== true) throw new CommandError('refused', `the rules of configuration ${number} are no longer kept, or it had none`, 'The last 1000 numbers are kept')
  write(formatValue(flags, item, item.content))
  return EXIT_CODES.success
}

type MemberAction = 'list' | 'add' | 'remove'

const MEMBER_ACTIONS: Record<MemberAction, (environment: CommandEnvironment, name: string, flags: CommonFlags) => Promise<number>> = {
  list: async ({ connect, write }, _name, flags) => {
    const { members, candidates } = selectBestStatus(await connect(flags).fetchStatuses())
    const all: MemberEntry[] = [...members, ...candidates]
    write(formatValue(flags, all, formatRows(['instance', 'role', 'failure domain', 'address', 'identity'], all.map(({ name, role, failureDomain, address, identity }) => [name, role, failureDomain, address, identity]))))
    return EXIT_CODES.success
  },
  add: async (environment, name, flags) => await changeMember(environment, 'add', name, flags),
  remove: async (environment, name, flags) => await changeMember(environment, 'remove', name, flags)
}

async function changeMember ({ connect, write }: CommandEnvironment, action: 'add' | 'remove', name: string, flags: CommonFlags): Promise<number> {
  if (name === '') throw new CommandError('usage', 'no control instance was named', `Use cyclamenusher member ${action} NAME`)
  const { outcome, message } = await connect(flags).changeMember(action, name)
  write(formatValue(flags, { outcome, message }, message))
  return outcome === 'changed' ? EXIT_CODES.success : lookUp(OUTCOME_EXIT_CODES, outcome) ?? EXIT_CODES.refused
}

export async function member (environment: CommandEnvironment, action: string, name: string | undefined, flags: CommonFlags): Promise<number> {
  const run = lookUp<typeof MEMBER_ACTIONS.list>(MEMBER_ACTIONS, action)
  if (run === undefined) throw new CommandError('usage', `there is no member command ${action}`, 'Use list, add or remove')
  return await run(environment, name ?? '', flags)
}

type DomainAction = 'list' | 'drain' | 'restore'

const DOMAIN_ACTIONS: Record<DomainAction, (environment: CommandEnvironment, name: string, flags: CommonFlags) => Promise<number>> = {
  list: async ({ connect, write }, _name, flags) => {
    const domains = await connect(flags).listDomains()
    write(formatValue(flags, domains, formatRows(['failure domain', 'state'], domains.map(({ name, drained }) => [name, drained ? 'drained' : 'in use']))))
    return EXIT_CODES.success
  },
  drain: async (environment, name, flags) => await orderDomain(environment, name, true, flags),
  restore: async (environment, name, flags) => await orderDomain(environment, name, false, flags)
}

async function orderDomain ({ connect, write }: CommandEnvironment, name: string, drained: boolean, flags: CommonFlags): Promise<number> {
  if (name === '') throw new CommandError('usage', 'no failure domain was named', `Use cyclamenusher domain ${drained ? 'drain' : 'restore'} NAME`)
  if (!await connect(flags).orderDomain(name, drained)) throw new CommandError('refused', `there is no failure domain ${name}`, 'cyclamenusher domain list shows those that are known')
  write(formatValue(flags, { failureDomain: name, drained }, drained ? `Failure domain ${name} is drained: control has accepted the order, and the servers there are left within the time that the settings allow.` : `Failure domain ${name} is in use again.`))
  return EXIT_CODES.success
}

export async function domain (environment: CommandEnvironment, action: string, name: string | undefined, flags: CommonFlags): Promise<number> {
  const run = lookUp<typeof DOMAIN_ACTIONS.list>(DOMAIN_ACTIONS, action)
  if (run === undefined) throw new CommandError('usage', `there is no domain command ${action}`, 'Use list, drain or restore')
  return await run(environment, name ?? '', flags)
}

export async function explain ({ connect, write }: CommandEnvironment, statement: string, flags: CommonFlags & { account?: string, database?: string, token?: string }): Promise<number> {
  const decision = await connect(flags).explain({ account: flags.account ?? '', database: flags.database ?? '', statement, sessionToken: flags.token ?? '' })
  write(formatValue(flags, JSON.parse(decision), decision))
  return EXIT_CODES.success
}

export async function drain ({ connect, write }: CommandEnvironment, flags: CommonFlags & { group?: string, member?: string }): Promise<number> {
  const message = await connect(flags).drain(flags.group ?? '', flags.member ?? '')
  write(formatValue(flags, { message }, message))
  return EXIT_CODES.success
}
