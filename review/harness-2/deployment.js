/** Starts the project's programs as a small deployment on loopback addresses, with the commands of the deploy file. */

import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { PORTS, chooseFreePorts, createAddresses, pause } from './network.js'
import { startProvider } from './provider.js'
import { callJson, startServer } from './server.js'

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const PROGRAM = join(REPOSITORY, 'target', 'platform.cjs')
const RESTART_MILLISECONDS = 200

/** The bounds of the small sites. */
const BOUNDS = `[Bounds]
SeedLagS = 3
AddressReuseS = 2
StabilityWindowMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4
DrainTimeoutMs = 7000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxExtensionMs = 12000
StrictRevocation = false
RevocationMs = 5000
QuotaWindowS = 5
QuotaOverage = 0.1
QuotaTolerance = 20
RecoveryS = 12
FencingEnforced = false
FreezeSlackMs = 300
`

const MACHINES = {
  control: { class: 'core', serves: 'control_plane', limits: 'CpuShare = 0.81\nCpuCores = 1\nMemoryMb = 346\nFileDescriptors = 4096\nBandwidthMbps = 1000.0\nDiskMb = 128' },
  entry: { class: 'frontend', serves: 'frontend', limits: 'CpuShare = 0.675\nCpuCores = 1\nMemoryMb = 350\nFileDescriptors = 4200\nBandwidthMbps = 1000.0\nDiskMb = 0' }
}

function listenAddresses (role, host) {
  if (role === 'control') return `ControlPlane = "${host}:${PORTS.control}"`
  return `FrontAddress = "${host}:${PORTS.client}"\nReadinessAddress = "${host}:${PORTS.readiness}"`
}

/** `zones` holds the entry and control instances of each zone: `{ name, entries, controls }`. */
export async function startDeployment ({ zones, record, services, promoteMilliseconds, restartMilliseconds = RESTART_MILLISECONDS, bootstrapMilliseconds = 20_000 }) {
  const nextAddress = createAddresses()
  await chooseFreePorts(nextAddress())
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const providerHost = nextAddress()
  const instances = []
  const groups = new Map()
  const servers = []
  let stopping = false
  /** The control instance that has last said that it leads. */
  let leader

  for (const { name: zone, controls = 0, entries = 0 } of zones) {
    for (const [role, count] of [['control', controls], ['entry', entries]]) {
      for (let number = 1; number <= count; number += 1) instances.push({ name: `${MACHINES[role].class}-${zone}-${number}`, role, zone, host: nextAddress() })
    }
  }
  const controls = instances.filter(({ role }) => role === 'control')
  const entries = instances.filter(({ role }) => role === 'entry')
  const controlAddresses = controls.map(({ host }) => ({ host, port: PORTS.control }))

  function writeSettings ({ name, role, zone, host }, bootstrap) {
    const machine = MACHINES[role]
    const file = join(folder, `${name}.toml`)
    writeFileSync(file, `NodeName = "${name}"
Role = "${role}"
MachineClass = "${machine.class}"
Serves = ["${machine.serves}"]
IpAddress = "${host}"
Zone = "${zone}"
Region = "r1"
InternalPortRange = [${PORTS.internal.join(',')}]
SeedNodes = [${controls.slice(0, 3).map(control => `"${control.host}:${PORTS.control}"`).join(',')}]
Bootstrap = ${bootstrap}
FaultCounted = ${role === 'control'}
${role === 'control' ? `DataDirectory = "${join(folder, `data-${name}`)}"\n` : ''}Discovery = "registration"
Entrypoint = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","tenants","quota"]
config_mode = "highest"
[Zones]
${zones.map(each => `${each.name} = "r1"`).join('\n')}
[ListenAddresses]
${listenAddresses(role, host)}
[Limits]
${machine.limits}
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
${BOUNDS}
[CloudApi]
Address = "${providerHost}:${PORTS.provider}"
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`)
    return file
  }

  function start (instance, bootstrap) {
    if (instance.role === 'control') mkdirSync(join(folder, `data-${instance.name}`), { recursive: true })
    const settings = writeSettings(instance, bootstrap)
    const output = createWriteStream(join(folder, `${instance.name}.log`), { flags: 'a' })
    const child = spawn(process.execPath, ['--max-old-space-size=160', PROGRAM, instance.role], { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, CYCLAMENUSHER_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.on('data', chunk => {
      output.write(chunk)
      if (chunk.includes('This instance leads the fleet.')) leader = instance
    })
    child.stderr.pipe(output)
    instance.child = child
    instance.exited = new Promise(resolve => {
      child.once('exit', (code, signal) => {
        record('process ended', { name: instance.name, code, signal })
        resolve()
        // The provider starts an ended process again after a short delay.
        if (!stopping && instance.staysDown !== true) setTimeout(() => { if (!stopping) start(instance, false) }, restartMilliseconds)
      })
    })
    record('process started', { name: instance.name, pid: child.pid, host: instance.host })
  }

  async function isReady ({ host }) {
    const answer = await callJson({ host, port: PORTS.readiness }, 'GET', '/v1/readiness')
    return answer?.status === 200
  }

  /** Sends a manifest until it is acknowledged. */
  async function replace (manifest) {
    record('manifest', manifest)
    for (let attempt = 0; attempt < 100; attempt += 1) {
      const answer = await callJson(controlAddresses[attempt % controlAddresses.length], 'POST', '/v1/Configuration.Replace', manifest)
      record('manifest sent', { version: manifest.Version, status: answer?.status })
      if (answer?.status === 200) return
      await pause(200)
    }
    throw new Error('no manifest was acknowledged')
  }

  async function awaitReady (milliseconds = bootstrapMilliseconds) {
    const until = performance.now() + milliseconds
    while (performance.now() < until) {
      const ready = await Promise.all(entries.map(isReady))
      if (ready.every(Boolean)) return true
      await pause(100)
    }
    return false
  }

  async function stop () {
    stopping = true
    for (const { child } of instances) if (child?.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(instances.map(async ({ exited }) => { await exited }))
    for (const server of servers) server.close()
    provider.close()
    if (process.env.KEEP_LOGS === undefined) rmSync(folder, { recursive: true, force: true })
    else console.error(`logs are in ${folder}`)
  }

  for (const name of services) groups.set(name, { name, servers: [] })
  const provider = await startProvider({ host: providerHost, groups, promoteMilliseconds, onCall: call => { record('promotion called', call) } })
  for (const instance of instances) start(instance, true)
  return {
    folder,
    zones,
    instances,
    entries,
    controls,
    controlAddresses,
    groups,
    nextAddress,
    servers,
    addServer: async options => {
      const server = await startServer({ controls: controlAddresses, log: (what, facts) => { record(`server ${what}`, facts) }, ...options, group: groups.get(options.service) })
      servers.push(server)
      server.checkIn()
      return server
    },
    replace,
    awaitReady,
    isReady,
    start,
    findLeader: () => leader,
    stop
  }
}
