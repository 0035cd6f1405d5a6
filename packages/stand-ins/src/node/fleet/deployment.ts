/**
 * Runs a complete deployment on loopback: control and entry instances in failure
 * domains, groups of stand-in servers, and rules.
 */

import { request } from 'node:http'
import { createFleet, digestOf } from './fleet.js'
import { createNetwork } from './network.js'
import type { Fleet, FleetProcess, ProgramFiles } from './fleet.js'
import type { Network } from './network.js'

const HOST = '127.0.0.1'
/** Password with which the system logs in to the stand-in servers. */
const SYSTEM_PASSWORD = 'system-password'
/** Maximum time for a deployment to become ready, in milliseconds. */
const READY_TIMEOUT_MILLISECONDS = 20_000

export interface AccountPlan {
  name: string
  key: string
  rate: number
  burst: number
  weight?: number
}

export interface DeploymentPlan {
  failureDomains: string[]
  /** Number of entry instances, distributed round-robin over the failure domains. */
  entries: number
  /** Number of control instances, distributed round-robin over the failure domains. */
  controls: number
  /** Databases; each has a group of its own with the same name. */
  databases: string[]
  /** Number of members of each group, distributed round-robin over the failure domains. */
  members: number
  accounts: AccountPlan[]
  connectionLimit: number
  openMilliseconds: number
  lagMilliseconds: number
  /** Maximum age of reads by client accounts, in milliseconds; 0: reads include everything that the session has seen. */
  maximumAgeMilliseconds?: number
  /** Databases whose reads are open to all, with the maximum age of these reads in milliseconds. */
  open?: Record<string, number>
  /** Additional lines in the settings of every instance, by table. */
  settings?: Record<string, string[]>
  /** Connects processes through links, so that failure domains can be cut off. @default false */
  links?: boolean
  /** Files that run in place of the built programs. */
  programs?: ProgramFiles
}

export interface InstanceProcess {
  name: string
  failureDomain: string
  role: 'entry' | 'control'
  /** Port for callers: `callers.listen` in the settings. */
  callers: number
  /** Port for calls between processes: `calls.listen` in the settings. */
  calls: number
  /** Port of the metrics and health pages: `metrics.listen` in the settings. */
  metrics: number
  configFile: string
  process: FleetProcess
}

export interface ServerProcess {
  group: string
  member: string
  failureDomain: string
  port: number
  administrationPort: number
  /** Command line of the process. */
  parameters: string[]
  process: FleetProcess
}

export interface Deployment {
  fleet: Fleet
  plan: DeploymentPlan
  /** The links between processes; undefined if the plan does not set `links`. */
  network: Network | undefined
  secretFile: string
  controls: InstanceProcess[]
  entries: InstanceProcess[]
  servers: ServerProcess[]
  /** Rule lines by identity ("table.name"). Changes take effect with `applyRules`. */
  rules: Map<string, string>
  /** Submits the rules under the next configuration number. */
  applyRules: () => Promise<{ code: number, output: string }>
  /** Returns the configuration number of the last rules that were accepted; 0: none. */
  number: () => number
  /** Runs the operator command line with the deployment's addresses. */
  operator: (parameters: string[]) => Promise<{ code: number, output: string }>
  restartInstance: (instance: InstanceProcess) => void
  restartServer: (server: ServerProcess) => void
  /** Sends a request to the HTTP interface of a stand-in server and returns the decoded answer. */
  administer: (server: ServerProcess, method: 'GET' | 'POST', path: string, body?: unknown) => Promise<unknown>
  close: () => Promise<void>
}

export async function callHttp (port: number, method: string, path: string, body?: unknown): Promise<{ status: number, text: string }> {
  return await new Promise((resolve, reject) => {
    const clientRequest = request({ host: HOST, port, method, path, timeout: 2_000 }, response => {
      let text = ''
      response.on('data', (chunk: Buffer) => { text += chunk.toString('utf8') })
      response.on('end', () => { resolve({ status: response.statusCode ?? 0, text }) })
    })
    clientRequest.on('error', reject)
    clientRequest.on('timeout', () => { clientRequest.destroy(new Error('the request timed out')) })
    clientRequest.end(body === undefined ? undefined : JSON.stringify(body))
  })
}

function buildRules (plan: DeploymentPlan): Map<string, string> {
  const lines = new Map<string, string>()
  const addRule = (table: string, name: string, fields: string): void => { lines.set(`${table}.${name}`, `${table}.${name} = { ${fields} } # asked for by the deployment`) }
  for (const { name, key, rate, burst, weight } of plan.accounts) {
    addRule('accounts', name, `rate = ${rate}, burst = ${burst}, weight = ${weight ?? 1}`)
    addRule('keys', `${name}-key`, `account = "${name}", digest = "${digestOf(key)}"`)
    for (const database of plan.databases) {
      addRule('access', `${name}-${database}`, `account = "${name}", database = "${database}", write = true, maximum_age_milliseconds = ${plan.maximumAgeMilliseconds ?? 0}`)
    }
  }
  for (const failureDomain of plan.failureDomains) addRule('failure_domains', failureDomain, '')
  for (const database of plan.databases) addRule('databases', database, `group = "${database}", members = ${plan.members}`)
  for (const [database, age] of Object.entries(plan.open ?? {})) addRule('open', database, `database = "${database}", maximum_age_milliseconds = ${age}, rate = 1000, burst = 1000`)
  return lines
}

/** Starts a deployment and waits until it is ready. `onFleet` gets the fleet before its first process starts. */
export async function startDeployment (plan: DeploymentPlan, onFleet?: (fleet: Fleet) => void): Promise<Deployment> {
  const fleet = createFleet(plan.programs)
  onFleet?.(fleet)
  const network = plan.links === true ? createNetwork(plan.failureDomains) : undefined
  try {
    return await startProcesses(fleet, plan, network)
  } catch (error) {
    await fleet.close()
    await network?.close()
    throw error
  }
}

async function startProcesses (fleet: Fleet, plan: DeploymentPlan, network: Network | undefined): Promise<Deployment> {
  const secretFile = fleet.write('secret', 'the shared secret of a deployment')
  fleet.write('password', SYSTEM_PASSWORD)
  const domainOf = (index: number): string => plan.failureDomains[index % plan.failureDomains.length]
  const controlPorts = await Promise.all(Array.from({ length: plan.controls }, async () => await fleet.findFreePort()))
  const controlAddresses = controlPorts.map(port => `${HOST}:${port}`)
  let number = 0
  const startOptions = (failureDomain: string): { linkHost?: string } => ({ linkHost: network?.hostOf(failureDomain) })

  /** Returns the setting with the control instance of the same failure domain, if each domain has one. */
  function buildDomainAddressLines (index: number): string[] {
    if (plan.controls < plan.failureDomains.length) return []
    return [`domain_address = "${controlAddresses[index % plan.failureDomains.length]}"`]
  }

  async function prepareInstance (role: 'entry' | 'control', index: number): Promise<Omit<InstanceProcess, 'process'>> {
    const name = `${role}-${index + 1}`
    const callers = await fleet.findFreePort()
    const calls = role === 'control' ? controlPorts[index] : await fleet.findFreePort()
    const metrics = await fleet.findFreePort()
    await network?.connectProcess(domainOf(index), calls)
    const tables: Record<string, string[]> = {
      instance: [`name = "${name}"`, `failure_domain = "${domainOf(index)}"`, `roles = ["${role}"]`, ...(role === 'control' ? [`data_folder = "${name}-data"`] : [])],
      callers: [`listen = "${HOST}:${callers}"`, 'clear_text_keys = true'],
      calls: [`listen = "${HOST}:${calls}"`, 'secret_file = "secret"'],
      control: [`addresses = [${controlAddresses.map(address => `"${address}"`).join(', ')}]`, ...buildDomainAddressLines(index)],
      backend: ['password_file = "password"'],
      metrics: [`listen = "${HOST}:${metrics}"`]
    }
    for (const [table, lines] of Object.entries(plan.settings ?? {})) tables[table] = [...tables[table] ?? [], ...lines]
    const configFile = fleet.write(`${name}.toml`, Object.entries(tables).map(([table, lines]) => `[${table}]\n${lines.join('\n')}\n`).join('\n'))
    return { name, failureDomain: domainOf(index), role, callers, calls, metrics, configFile }
  }

  function startInstance (prepared: Omit<InstanceProcess, 'process'>): InstanceProcess {
    return { ...prepared, process: fleet.start(prepared.name, 'daemon', ['--config', prepared.configFile], startOptions(prepared.failureDomain)) }
  }

  const controls = (await Promise.all(controlPorts.map(async (_port, index) => await prepareInstance('control', index)))).map(startInstance)
  const entries = (await Promise.all(Array.from({ length: plan.entries }, async (_value, index) => await prepareInstance('entry', index)))).map(startInstance)
  const entryAddresses = entries.map(({ calls }) => `${HOST}:${calls}`)

  async function prepareServer (group: string, index: number): Promise<Omit<ServerProcess, 'process'>> {
    const [port, administrationPort] = [await fleet.findFreePort(), await fleet.findFreePort()]
    const member = `${group}-${index + 1}`
    const failureDomain = domainOf(index)
    await network?.connectProcess(failureDomain, port)
    // Each server announces itself to an entry instance of its own failure domain first.
    const sameDomainAddresses = entries.filter(entry => entry.failureDomain === failureDomain).map(({ calls }) => `${HOST}:${calls}`)
    const announcementAddresses = [...sameDomainAddresses, ...entryAddresses.filter(address => !sameDomainAddresses.includes(address))].join(',')
    const parameters = [
      'backend', '--group', group, '--member', member, '--failure-domain', failureDomain, '--port', String(port),
      '--administration-port', String(administrationPort), '--entries', announcementAddresses, '--secret-file', secretFile, '--password', SYSTEM_PASSWORD,
      '--data-folder', `${fleet.folder}/${member}-data`, '--connection-limit', String(plan.connectionLimit),
      '--open-milliseconds', String(plan.openMilliseconds), '--lag-milliseconds', String(plan.lagMilliseconds)
    ]
    return { group, member, failureDomain, port, administrationPort, parameters }
  }

  function startServer (prepared: Omit<ServerProcess, 'process'>): ServerProcess {
    return { ...prepared, process: fleet.start(prepared.member, 'standIns', prepared.parameters, startOptions(prepared.failureDomain)) }
  }

  const plannedMembers = plan.databases.flatMap(group => Array.from({ length: plan.members }, (_value, index) => ({ group, index })))
  const servers = (await Promise.all(plannedMembers.map(async ({ group, index }) => await prepareServer(group, index)))).map(startServer)
  const rules = buildRules(plan)

  async function runOperator (parameters: string[]): Promise<{ code: number, output: string }> {
    return await fleet.run('operator', [...parameters, '--control', controlAddresses.join(','), '--secret-file', secretFile])
  }

  const deployment: Deployment = {
    fleet,
    plan,
    network,
    secretFile,
    controls,
    entries,
    servers,
    rules,
    number: () => number,
    operator: runOperator,
    applyRules: async () => {
      const file = fleet.write('rules.toml', `${[...rules.values()].join('\n')}\n`)
      const result = await runOperator(['apply', file, '--number', String(number + 1), '--operator', 'deployment'])
      if (result.code === 0) number += 1
      return result
    },
    restartInstance: instance => { instance.process = fleet.start(instance.name, 'daemon', ['--config', instance.configFile], startOptions(instance.failureDomain)) },
    restartServer: server => { server.process = fleet.start(server.member, 'standIns', server.parameters, startOptions(server.failureDomain)) },
    administer: async (server, method, path, body) => JSON.parse((await callHttp(server.administrationPort, method, path, body)).text),
    close: async () => {
      await fleet.close()
      await network?.close()
    }
  }
  await waitUntilReady(deployment)
  return deployment
}

async function waitUntilReady (deployment: Deployment): Promise<void> {
  const applied = await deployment.applyRules()
  if (applied.code !== 0) throw new Error(`the rules were not accepted: ${applied.output}`)
  const deadline = Date.now() + READY_TIMEOUT_MILLISECONDS
  for (const entry of deployment.entries) {
    await waitUntil(deadline, `${entry.name} is not ready: ${entry.process.output().slice(-500)}`, async () => (await callHttp(entry.metrics, 'GET', '/health')).status === 200)
  }
  for (const group of deployment.plan.databases) {
    const members = deployment.servers.filter(server => server.group === group)
    await waitUntil(deadline, `${group} has no primary`, async () => {
      const states = await Promise.all(members.map(async server => await deployment.administer(server, 'GET', '/state') as { role: string, primaryMember: string }))
      const primaries = states.filter(({ role }) => role === 'primary')
      return primaries.length === 1 && states.every(({ primaryMember }) => primaryMember !== '')
    })
  }
}

/**
 * Polls `condition` until it is true; an error counts as false.
 *
 * @throws Error with the message `problem` once `deadline`, a Unix time in milliseconds, has passed
 */
export async function waitUntil (deadline: number, problem: string, condition: () => Promise<boolean>): Promise<void> {
  for (;;) {
    if (await condition().catch(() => false)) return
    if (Date.now() > deadline) throw new Error(problem)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
}
