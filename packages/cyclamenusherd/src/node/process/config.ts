/** Reads the settings of an instance from TOML, and reports every fault at once. */

import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { FaultyFileError, entriesBelow, lookUp, readToml, resolveFields } from '@cyclamenusher/decisions'
import { isLoopback, parseAddress } from './address.js'
import { SETTINGS } from './settings.js'
import type { Fault, TomlValue } from '@cyclamenusher/decisions'
import type { Address } from './address.js'

export type InstanceRole = 'entry' | 'control'

export interface Config {
  file: string
  instance: {
    name: string
    failureDomain: string
    roles: InstanceRole[]
    /** Folder in which a control instance keeps its durable state. */
    dataFolder?: string
  }
  callers: {
    listen: Address
    /** Whether callers may send keys without TLS; allowed on loopback only. @default false */
    clearTextKeys: boolean
    tlsCertificate?: string
    tlsKey?: string
    /** @default 5000 */
    maximumConnections: number
    /** Longest message of a caller, in bytes. @default 16777216 */
    maximumMessageBytes: number
    /** Memory for incomplete requests and prepared statements of all callers together, in bytes. @default 33554432 */
    maximumInputBytes: number
    /** Memory for the prepared statements of one caller, in bytes. @default 4194304 */
    maximumSessionBytes: number
    /** Age from which a connection without a complete handshake is closed for a further one, in milliseconds. @default 1000 */
    handshakeGraceMilliseconds: number
    /** Time within which a message must be complete, in milliseconds. @default 30000 */
    messageMilliseconds: number
    /** Time after which a caller is disconnected that reads nothing of an answer, in milliseconds. @default 10000 */
    unreadAnswerMilliseconds: number
    /** Time limit for a request, in milliseconds. @default 30000 */
    requestMilliseconds: number
    /** Time limit for a caller's handshake, until its key is accepted, in milliseconds. @default 10000 */
    handshakeMilliseconds: number
    /** Time that a transaction may stay idle between requests, in milliseconds. @default 60000 */
    idleTransactionMilliseconds: number
  }
  calls: {
    listen: Address
    /** Address at which other instances reach this one. @default the address of `listen` */
    advertise: Address
    /** Shared secret of all instances and announcers. */
    secret: string
    /** Connections that no authenticated call has come on. @default 1024 */
    maximumUnauthenticated: number
    tls?: { certificate: string, key: string, authority: string }
  }
  control: {
    addresses: Address[]
    /** Number of entry instances in a failure domain above which two of them relay rules to the others. @default 16 */
    relayAbove: number
    /** How long rules count as fresh after control last confirmed them, in milliseconds. @default 3000 */
    leaseMilliseconds: number
    /** Address of the control instance that grants shares of open routes in this failure domain. */
    domainAddress?: Address
  }
  backend: {
    user: string
    monitorUser: string
    password: string
    /** Connections of all entry instances together to one backend server. @default 25 */
    connectionsPerServer: number
    /** Connections of this instance alone to one backend server. @default undefined - an even share */
    connectionsOfInstance?: number
    /** Time that a request may wait for a connection, in milliseconds. @default 2000 */
    waitMilliseconds: number
    /** Time that a commit may wait for a majority, in milliseconds. @default 5000 */
    acknowledgeMilliseconds: number
  }
  failover: {
    /** Time without contact after which replicas consider their primary failed, in milliseconds. @default 500 */
    silenceMilliseconds: number
  }
  rates: {
    /** Time that a request may wait for a token, in milliseconds. @default 80 */
    waitMilliseconds: number
    /** How long an instance may lend an account's tokens without a renewal by control, in milliseconds. @default 1500 */
    mandateMilliseconds: number
  }
  metrics: {
    listen: Address
    /** @default 128 */
    maximumConnections: number
    /** @default 30000 */
    requestMilliseconds: number
  }
  log: {
    level: 'error' | 'warn' | 'info' | 'debug'
    format: 'lines' | 'json'
    /** Whether each routing decision is logged. @default true */
    decisions: boolean
  }
  shutdown: {
    /** Time in which callers are still accepted after SIGTERM, in milliseconds. @default 1000 */
    graceMilliseconds: number
    /** Time after which a shutdown ends running requests, in milliseconds. @default 20000 */
    drainMilliseconds: number
  }
}

type SettingValues = Record<string, Record<string, TomlValue | undefined>>

interface FileReader {
  /** Trimmed content of the file that a setting names; a fault if it is shorter than 8 characters. */
  secret: (table: string, name: string) => string
  /** Content of the file that a setting names; undefined if the setting is not set. A fault if the file can't be read. */
  text: (table: string, name: string) => string | undefined
}

function createFileReader (file: string, values: SettingValues, findLine: (table: string, name: string) => number, faults: Fault[]): FileReader {
  const text = (table: string, name: string): string | undefined => {
    const path = lookUp(lookUp(values, table) ?? {}, name)
    if (typeof path !== 'string') return undefined
    try {
      return readFileSync(resolve(dirname(file), path), 'utf8')
    } catch (error) {
      faults.push({ file, line: findLine(table, name), problem: `${table}.${name}: ${path} can't be read (${(error as NodeJS.ErrnoException).code})`, remedy: 'Name a file that this process may read' })
      return undefined
    }
  }
  const secret = (table: string, name: string): string => {
    const content = text(table, name)?.trim() ?? ''
    const unreadable = faults.some(fault => fault.line === findLine(table, name))
    if (content.length < 8 && !unreadable) {
      faults.push({ file, line: findLine(table, name), problem: `${table}.${name}: the file holds fewer than 8 characters`, remedy: 'Write a longer secret into it' })
    }
    return content
  }
  return { secret, text }
}

/** Finds faults that concern several settings together. */
function checkCombinations (file: string, values: SettingValues, findLine: (table: string, name: string) => number): Fault[] {
  const faults: Fault[] = []
  const { instance, callers, calls, control } = values
  const roles = instance.roles as InstanceRole[]
  if (roles.includes('control') && instance.data_folder === undefined) {
    faults.push({ file, line: findLine('instance', 'roles'), problem: 'a control instance has no instance.data_folder', remedy: 'Name a folder on its disk' })
  }
  const advertised = String(calls.advertise ?? calls.listen)
  const addresses = control.addresses as string[] | undefined
  if (roles.includes('control') && addresses?.includes(advertised) === false) {
    faults.push({ file, line: findLine('control', 'addresses'), problem: `control.addresses lacks this control instance, ${advertised}`, remedy: 'List all control instances, in the same order on each, or set calls.advertise' })
  }
  if (control.domain_address !== undefined && addresses?.includes(String(control.domain_address)) === false) {
    faults.push({ file, line: findLine('control', 'domain_address'), problem: `control.domain_address is ${String(control.domain_address)}, which is not in control.addresses`, remedy: 'Name the control instance of this failure domain' })
  }
  if ((callers.tls_certificate === undefined) !== (callers.tls_key === undefined)) {
    faults.push({ file, line: findLine('callers', 'tls_certificate'), problem: 'callers.tls_certificate and callers.tls_key go together', remedy: 'Set both or neither' })
  }
  const tlsSettingCount = [calls.tls_certificate, calls.tls_key, calls.tls_authority].filter(setting => setting !== undefined).length
  if (tlsSettingCount > 0 && tlsSettingCount < 3) {
    faults.push({ file, line: findLine('calls', 'tls_certificate'), problem: 'calls.tls_certificate, calls.tls_key and calls.tls_authority go together', remedy: 'Set all three or none' })
  }
  if (roles.includes('entry') && callers.tls_certificate === undefined) {
    const loopback = isLoopback(parseAddress(String(callers.listen)).host)
    if (callers.clear_text_keys !== true) faults.push({ file, line: findLine('callers', 'listen'), problem: 'callers have neither TLS nor leave to send keys in clear text', remedy: 'Set callers.tls_certificate and callers.tls_key, or on loopback callers.clear_text_keys = true' })
    else if (!loopback) faults.push({ file, line: findLine('callers', 'clear_text_keys'), problem: 'keys in clear text are accepted on loopback only', remedy: 'Set callers.tls_certificate and callers.tls_key' })
  }
  if (tlsSettingCount === 0 && !isLoopback(parseAddress(String(calls.listen)).host)) {
    faults.push({ file, line: findLine('calls', 'listen'), problem: 'calls between instances leave loopback without TLS', remedy: 'Set calls.tls_certificate, calls.tls_key and calls.tls_authority' })
  }
  return faults
}

/**
 * Reads and checks a settings file.
 *
 * @throws FaultyFileError with every fault, each with file, line and remedy
 */
export function resolveConfig (file: string): Config {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    throw new FaultyFileError([{ file, line: 1, problem: `the settings can't be read (${(error as NodeJS.ErrnoException).code})`, remedy: 'Name a file that this process may read with --config FILE' }])
  }
  const entries = readToml(file, text)
  const faults: Fault[] = []
  const resolvedTables = new Map<string, SettingValues[string]>()
  const findLine = (table: string, name: string): number =>
    (entries.find(({ path }) => path[0] === table && path[1] === name) ?? entries.find(({ path }) => path[0] === table))?.line ?? 1
  for (const { path, line } of entries) {
    if (path.length >= 2 && Object.hasOwn(SETTINGS, path[0])) continue
    faults.push({ file, line, problem: `there is no setting ${path.join('.')}`, remedy: `Tables are ${Object.keys(SETTINGS).join(', ')}` })
  }
  for (const [table, fields] of Object.entries(SETTINGS)) {
    const resolved = resolveFields(file, table, fields, entriesBelow(entries, table), findLine(table, ''))
    resolvedTables.set(table, resolved.values)
    faults.push(...resolved.faults)
  }
  const values: SettingValues = Object.fromEntries(resolvedTables)
  faults.push(...checkCombinations(file, values, findLine))
  const files = createFileReader(file, values, findLine, faults)
  const config = buildConfig(file, values, files)
  if (faults.length > 0) throw new FaultyFileError(faults)
  return config
}

function buildConfig (file: string, values: SettingValues, files: FileReader): Config {
  const { instance, callers, calls, control, backend, failover, rates, metrics, log, shutdown } = values
  const authority = files.text('calls', 'tls_authority')
  return {
    file,
    instance: {
      name: String(instance.name),
      failureDomain: String(instance.failure_domain),
      roles: instance.roles as InstanceRole[],
      dataFolder: instance.data_folder === undefined ? undefined : resolve(dirname(file), String(instance.data_folder))
    },
    callers: {
      listen: parseAddress(String(callers.listen)),
      clearTextKeys: callers.clear_text_keys === true,
      tlsCertificate: files.text('callers', 'tls_certificate'),
      tlsKey: files.text('callers', 'tls_key'),
      maximumConnections: Number(callers.maximum_connections),
      maximumMessageBytes: Number(callers.maximum_message_bytes),
      maximumInputBytes: Number(callers.maximum_input_bytes),
      maximumSessionBytes: Number(callers.maximum_session_bytes),
      handshakeGraceMilliseconds: Number(callers.handshake_grace_milliseconds),
      messageMilliseconds: Number(callers.message_milliseconds),
      unreadAnswerMilliseconds: Number(callers.unread_answer_milliseconds),
      requestMilliseconds: Number(callers.request_milliseconds),
      handshakeMilliseconds: Number(callers.handshake_milliseconds),
      idleTransactionMilliseconds: Number(callers.idle_transaction_milliseconds)
    },
    calls: {
      listen: parseAddress(String(calls.listen)),
      advertise: parseAddress(String(calls.advertise ?? calls.listen)),
      secret: files.secret('calls', 'secret_file'),
      maximumUnauthenticated: Number(calls.maximum_unauthenticated),
      tls: authority === undefined
        ? undefined
        : { certificate: files.text('calls', 'tls_certificate') ?? '', key: files.text('calls', 'tls_key') ?? '', authority }
    },
    control: {
      addresses: ((control.addresses ?? []) as string[]).map(parseAddress),
      relayAbove: Number(control.relay_above),
      leaseMilliseconds: Number(control.lease_milliseconds),
      domainAddress: control.domain_address === undefined ? undefined : parseAddress(String(control.domain_address))
    },
    backend: {
      user: String(backend.user),
      monitorUser: String(backend.monitor_user),
      password: files.secret('backend', 'password_file'),
      connectionsPerServer: Number(backend.connections_per_server),
      connectionsOfInstance: backend.connections_of_instance === undefined ? undefined : Number(backend.connections_of_instance),
      waitMilliseconds: Number(backend.wait_milliseconds),
      acknowledgeMilliseconds: Number(backend.acknowledge_milliseconds)
    },
    failover: { silenceMilliseconds: Number(failover.silence_milliseconds) },
    rates: { waitMilliseconds: Number(rates.wait_milliseconds), mandateMilliseconds: Number(rates.mandate_milliseconds) },
    metrics: { listen: parseAddress(String(metrics.listen)), maximumConnections: Number(metrics.maximum_connections), requestMilliseconds: Number(metrics.request_milliseconds) },
    log: { level: log.level as Config['log']['level'], format: log.format as Config['log']['format'], decisions: log.decisions === true },
    shutdown: { graceMilliseconds: Number(shutdown.grace_milliseconds), drainMilliseconds: Number(shutdown.drain_milliseconds) }
  }
}
