/** Calls from the command line to control and entry instances. */

import { readFileSync } from 'node:fs'
import { Code, ConnectError } from '@connectrpc/connect'
import { ControlService, FleetService, OperatorService, createPeerClient } from '@cyclamenusher/protocol'
import { CommandError } from './errors.js'
import type { ExplanationReply, ExplanationRequest } from '@cyclamenusher/decisions'
import type { ChangeMemberReply, ControlMember, PeerTls, SubmitReply } from '@cyclamenusher/protocol'

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 5_000
/** Maximum rounds over all control instances until a leader answers. */
const MAXIMUM_LEADER_ROUNDS = 10
/** Delay between two rounds, in milliseconds. */
const ROUND_DELAY_MILLISECONDS = 300

export interface ConnectionFlags {
  control?: string
  entry?: string
  secretFile?: string
  tlsCertificate?: string
  tlsKey?: string
  tlsAuthority?: string
}

export interface ControlStatus {
  instance: string
  role: string
  term: number
  leader: string
  commitIndex: number
  number: number
  voters: string[]
  members: MemberEntry[]
  candidates: MemberEntry[]
  instances: Array<{ name: string, failureDomain: string, address: string }>
}

export interface MemberEntry {
  name: string
  role: string
  failureDomain: string
  address: string
  identity: string
}

export interface FailureDomainEntry {
  name: string
  drained: boolean
}

export interface HistoryEntry {
  number: number
  digest: string
  operator: string
  acceptedAt: string
  /** The rules of this configuration; empty where they were not requested, are no longer kept, or never existed. */
  content: string
}

export interface Connection {
  submit: (number: bigint, content: string, operator: string) => Promise<SubmitReply>
  fetchStatuses: () => Promise<ControlStatus[]>
  history: (from: number, limit: number, withContent: boolean) => Promise<HistoryEntry[]>
  changeMember: (action: 'add' | 'remove', name: string) => Promise<ChangeMemberReply>
  explain: (request: { account: string, database: string, statement: string, sessionToken: string }) => Promise<string>
  drain: (group: string, member: string) => Promise<string>
  /** Drains a failure domain, or restores it. Resolves with whether it is known. */
  orderDomain: (name: string, drained: boolean) => Promise<boolean>
  listDomains: () => Promise<FailureDomainEntry[]>
  /** Asks an entry instance of the platform where an operation would go; `address` is another one than that of the flags. */
  where: (request: ExplanationRequest, address?: string) => Promise<ExplanationReply>
}

export function readFlagFile (file: string, purpose: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (error) {
    throw new CommandError('usage', `${file} can't be read (${(error as NodeJS.ErrnoException).code})`, `Name a file that you can read and that holds ${purpose}`)
  }
}

function readSecret (file: string | undefined): string {
  if (file === undefined) throw new CommandError('usage', 'no secret file was given', 'Name it with --secret-file FILE')
  return readFlagFile(file, 'the shared secret').trim()
}

/** Reads the files for mutual TLS. Undefined: none were named. */
function readTls ({ tlsCertificate, tlsKey, tlsAuthority }: ConnectionFlags): PeerTls | undefined {
  if (tlsCertificate === undefined && tlsKey === undefined && tlsAuthority === undefined) return undefined
  if (tlsCertificate === undefined || tlsKey === undefined || tlsAuthority === undefined) {
    throw new CommandError('usage', 'mutual TLS needs three files', 'Name all of --tls-certificate, --tls-key and --tls-authority, or none')
  }
  return {
    certificate: readFlagFile(tlsCertificate, 'the certificate'),
    key: readFlagFile(tlsKey, 'the certificate\'s private key'),
    authority: readFlagFile(tlsAuthority, 'the authority\'s certificate')
  }
}

function parseAddresses (flag: string | undefined, name: string): Array<{ host: string, port: number }> {
  if (flag === undefined) throw new CommandError('usage', `no ${name} instance was given`, `Name one with --${name} HOST:PORT`)
  return flag.split(',').map(address => {
    const separator = address.lastIndexOf(':')
    const port = Number(address.slice(separator + 1))
    if (separator < 1 || !Number.isInteger(port)) throw new CommandError('usage', `"${address}" is not an address`, 'Write it as HOST:PORT')
    return { host: address.slice(0, separator).replace(/^\[|\]$/g, ''), port }
  })
}

/** Returns whether a failed call may have reached its server. */
function mayHaveArrived (error: unknown): boolean {
  if (!(error instanceof ConnectError)) return true
  if (error.code === Code.Unauthenticated || error.code === Code.InvalidArgument) return false
  return !/ECONNREFUSED|EHOSTUNREACH|ENETUNREACH|no connection in time/.test(error.message)
}

function createMemberEntry ({ name, role, failureDomain, host, port, identity }: ControlMember): MemberEntry {
  return { name, role: role === '' ? 'candidate' : role, failureDomain, address: `${host}:${port}`, identity }
}

export function createConnection (flags: ConnectionFlags): Connection {
  const credentials = { secret: readSecret(flags.secretFile), tls: readTls(flags) }
  const createControlClients = () => parseAddresses(flags.control, 'control').map(({ host, port }) => createPeerClient(ControlService, host, port, credentials))
  const createEntryClient = () => parseAddresses(flags.entry, 'entry').map(({ host, port }) => createPeerClient(OperatorService, host, port, credentials))[0]

  /** Repeats a call over the control instances until the leader answers. `outcomeUnknown`: none did, and the call may have taken effect. */
  async function callLeader<Reply extends { outcome: string }> (call: (client: ReturnType<typeof createControlClients>[number]) => Promise<Reply>): Promise<{ reply?: Reply, outcomeUnknown: boolean, error?: Error }> {
    const clients = createControlClients()
    const result: { reply?: Reply, outcomeUnknown: boolean, error?: Error } = { outcomeUnknown: false }
    for (let attempt = 0; attempt < MAXIMUM_LEADER_ROUNDS * clients.length; attempt += 1) {
      try {
        const reply = await call(clients[attempt % clients.length])
        if (reply.outcome !== 'not leader' && reply.outcome !== 'unknown') return { reply, outcomeUnknown: false }
        result.reply = reply
        result.outcomeUnknown ||= reply.outcome === 'unknown'
      } catch (error) {
        result.error = error as Error
        result.outcomeUnknown ||= mayHaveArrived(error)
      }
      if (attempt % clients.length === clients.length - 1) await new Promise(resolve => setTimeout(resolve, ROUND_DELAY_MILLISECONDS))
    }
    return result
  }

  /** Submits rules. A submission with the same number and content can be repeated: it gets the first answer again. */
  async function submit (number: bigint, content: string, operator: string): Promise<SubmitReply> {
    const { reply, outcomeUnknown, error } = await callLeader(async client => await client.submit({ number, content, operator }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS }))
    if (outcomeUnknown) throw new CommandError('unknown', `it is unknown whether configuration ${number} was accepted`, 'Apply it again with the same number and content: it gets its first answer')
    if (reply === undefined) throw new CommandError('unreachable', `no control instance answered: ${error?.message ?? ''}`, 'Check --control and --secret-file')
    return reply
  }

  async function changeMember (action: 'add' | 'remove', name: string): Promise<ChangeMemberReply> {
    const { reply, outcomeUnknown, error } = await callLeader(async client => await client.changeMember({ action, name }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS }))
    if (outcomeUnknown) throw new CommandError('unknown', `it is unknown whether the change of ${name} was made`, 'Check cyclamenusher member list, then try again')
    if (reply === undefined) throw new CommandError('unreachable', `no control instance answered: ${error?.message ?? ''}`, 'Check --control and --secret-file')
    return reply
  }

  /** Returns the newest history among the control instances that answer. */
  async function history (from: number, limit: number, withContent: boolean): Promise<HistoryEntry[]> {
    const answers = await Promise.allSettled(createControlClients().map(async client => await client.history({ fromNumber: BigInt(from), limit, withContent }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })))
    const replies = answers.flatMap(answer => answer.status === 'fulfilled' ? [answer.value.items] : [])
    if (replies.length === 0) throw new CommandError('unreachable', `no control instance answered: ${String((answers[0] as PromiseRejectedResult).reason)}`, 'Check --control and --secret-file')
    const newest = replies.reduce((best, items) => (items.at(-1)?.number ?? 0n) > (best.at(-1)?.number ?? 0n) ? items : best)
    return newest.map(({ number, digest, operator, acceptedAt, content }) => ({ number: Number(number), digest, operator, acceptedAt: new Date(Number(acceptedAt)).toISOString(), content }))
  }

  async function fetchStatuses (): Promise<ControlStatus[]> {
    const answers = await Promise.allSettled(createControlClients().map(async client => await client.status({}, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })))
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
      members: reply.members.map(createMemberEntry),
      candidates: reply.candidates.map(createMemberEntry),
      instances: reply.instances.map(({ name, failureDomain, host, port }) => ({ name, failureDomain, address: `${host}:${port}` }))
    }))
  }

  /** Repeats a call over the control instances until one answers for the leader. `isAnswer`: whether a reply is final. */
  async function callFleet <Reply> (method: 'drain' | 'domains', request: unknown, isAnswer: (reply: Reply) => boolean): Promise<{ reply?: Reply, error?: Error }> {
    const clients = parseAddresses(flags.control, 'control').map(({ host, port }) => createPeerClient(FleetService, host, port, credentials))
    const body = new Uint8Array(Buffer.from(JSON.stringify(request)))
    let failure: Error | undefined
    for (let attempt = 0; attempt < MAXIMUM_LEADER_ROUNDS * clients.length; attempt += 1) {
      try {
        const received = await clients[attempt % clients.length][method]({ body }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
        const reply = JSON.parse(Buffer.from(received.body).toString('utf8')) as Reply
        if (isAnswer(reply)) return { reply }
        failure = undefined
      } catch (error) {
        failure = error as Error
      }
      if (attempt % clients.length === clients.length - 1) await new Promise(resolve => setTimeout(resolve, ROUND_DELAY_MILLISECONDS))
    }
    return { error: failure }
  }

  async function orderDomain (name: string, drained: boolean): Promise<boolean> {
    const { reply, error } = await callFleet<string>('drain', { failureDomain: name, drained }, outcome => outcome !== 'unknown')
    if (reply === undefined) throw new CommandError('unknown', `it is unknown whether the order for ${name} was accepted${error === undefined ? '' : `: ${error.message}`}`, 'Give the same order again: repeating it changes nothing')
    return reply === 'held'
  }

  async function listDomains (): Promise<FailureDomainEntry[]> {
    const { reply, error } = await callFleet<FailureDomainEntry[] | null>('domains', {}, list => list !== null)
    if (reply === undefined || reply === null) throw new CommandError('unreachable', `no control instance answered for the leader: ${error?.message ?? 'none leads'}`, 'Check --control and --secret-file')
    return reply
  }

  async function where (request: ExplanationRequest, address = flags.entry): Promise<ExplanationReply> {
    const [{ host, port }] = parseAddresses(address, 'entry')
    const body = new Uint8Array(Buffer.from(JSON.stringify(request)))
    try {
      const received = await createPeerClient(FleetService, host, port, credentials).where({ body }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
      return JSON.parse(Buffer.from(received.body).toString('utf8')) as ExplanationReply
    } catch (error) {
      if (error instanceof ConnectError && error.code === Code.Unimplemented) throw new CommandError('refused', `the instance at ${host}:${port} does not explain operations`, 'Name an entry instance of the platform, of this build or a later one')
      throw new CommandError('unreachable', `the entry instance at ${host}:${port} did not answer: ${(error as Error).message}`, 'Check --entry and --secret-file')
    }
  }

  return {
    orderDomain,
    listDomains,
    where,
    submit,
    fetchStatuses,
    history,
    changeMember,
    explain: async request => (await createEntryClient().explain(request, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })).decision,
    drain: async (group, member) => (await createEntryClient().drain({ group, member }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })).message
  }
}
