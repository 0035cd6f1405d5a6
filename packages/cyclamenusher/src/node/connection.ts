/** Calls of the command line to control and entry instances. */

import { readFileSync } from 'node:fs'
import { ControlService, OperatorService, createPeerClient } from '@cyclamenusher/protocol'
import { CommandError } from './errors.js'
import type { SubmitReply } from '@cyclamenusher/protocol'

/** Time that one call may take, in milliseconds. */
const CALL_MILLISECONDS = 5_000
/** Rounds over all control instances while none of them leads. */
const LEADER_ROUNDS = 10
/** Pause between two rounds, in milliseconds. */
const ROUND_MILLISECONDS = 300

export interface ConnectionFlags {
  control?: string
  entry?: string
  secretFile?: string
}

export interface ControlStatus {
  instance: string
  role: string
  term: number
  leader: string
  commitIndex: number
  number: number
  voters: string[]
  instances: Array<{ name: string, failureDomain: string, address: string }>
}

export interface HistoryLine {
  number: number
  digest: string
  operator: string
  acceptedAt: string
}

export interface Connection {
  submit: (number: bigint, content: string, operator: string) => Promise<SubmitReply>
  statusOfAll: () => Promise<ControlStatus[]>
  history: (from: number, limit: number) => Promise<HistoryLine[]>
  explain: (request: { account: string, database: string, statement: string, sessionToken: string }) => Promise<string>
  drain: (group: string, member: string) => Promise<string>
}

function readSecret (file: string | undefined): string {
  if (file === undefined) throw new CommandError('usage', 'no secret file was given', 'Name it with --secret-file FILE')
  try {
    return readFileSync(file, 'utf8').trim()
  } catch (error) {
    throw new CommandError('usage', `${file} can't be read (${(error as NodeJS.ErrnoException).code})`, 'Name the file with the secret of the system')
  }
}

function parseAddresses (flag: string | undefined, name: string): Array<{ host: string, port: number }> {
  if (flag === undefined) throw new CommandError('usage', `no ${name} instance was given`, `Name one with --${name} HOST:PORT`)
  return flag.split(',').map(address => {
    const split = address.lastIndexOf(':')
    const port = Number(address.slice(split + 1))
    if (split < 1 || !Number.isInteger(port)) throw new CommandError('usage', `"${address}" is no address`, 'Write it as HOST:PORT')
    return { host: address.slice(0, split).replace(/^\[|\]$/g, ''), port }
  })
}

export function createConnection (flags: ConnectionFlags): Connection {
  const credentials = { secret: readSecret(flags.secretFile) }
  const control = () => parseAddresses(flags.control, 'control').map(({ host, port }) => createPeerClient(ControlService, host, port, credentials))
  const entry = () => parseAddresses(flags.entry, 'entry').map(({ host, port }) => createPeerClient(OperatorService, host, port, credentials))[0]

  async function submit (number: bigint, content: string, operator: string): Promise<SubmitReply> {
    const clients = control()
    let last: SubmitReply | undefined
    let lastError: Error | undefined
    // The same number and content may be sent again: it gets its first answer.
    for (let attempt = 0; attempt < LEADER_ROUNDS * clients.length; attempt += 1) {
      try {
        last = await clients[attempt % clients.length].submit({ number, content, operator }, { timeoutMs: CALL_MILLISECONDS })
        if (last.outcome !== 'not leader') return last
      } catch (error) {
        lastError = error as Error
      }
      if (attempt % clients.length === clients.length - 1) await new Promise(resolve => setTimeout(resolve, ROUND_MILLISECONDS))
    }
    if (last !== undefined) return last
    throw new CommandError('unreachable', `no control instance answered: ${lastError?.message ?? ''}`, 'Check --control and --secret-file')
  }

  async function statusOfAll (): Promise<ControlStatus[]> {
    const answers = await Promise.allSettled(control().map(async client => await client.status({}, { timeoutMs: CALL_MILLISECONDS })))
    const replies = answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value] : [])
    if (replies.length === 0) throw new CommandError('unreachable', `no control instance answered: ${String((answers[0] as PromiseRejectedResult).reason)}`, 'Check --control and --secret-file')
    return replies.map(reply => ({
      instance: reply.instance,
      role: reply.role,
      term: Number(reply.term),
      leader: reply.leader,
      commitIndex: Number(reply.commitIndex),
      number: Number(reply.number),
      voters: reply.voters,
      instances: reply.instances.map(({ name, failureDomain, host, port }) => ({ name, failureDomain, address: `${host}:${port}` }))
    }))
  }

  return {
    submit,
    statusOfAll,
    history: async (from, limit) => {
      const { items } = await control()[0].history({ fromNumber: BigInt(from), limit }, { timeoutMs: CALL_MILLISECONDS })
      return items.map(({ number, digest, operator, acceptedAt }) => ({ number: Number(number), digest, operator, acceptedAt: new Date(Number(acceptedAt)).toISOString() }))
    },
    explain: async request => (await entry().explain(request, { timeoutMs: CALL_MILLISECONDS })).decision,
    drain: async (group, member) => (await entry().drain({ group, member }, { timeoutMs: CALL_MILLISECONDS })).message
  }
}
