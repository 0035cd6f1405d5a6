/** Starts the project's programs as separate processes with settings like those of a small deployment, and ends all of them. */

import { spawn } from 'node:child_process'
import { closeSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))

/** The commands of deploy/system.toml. */
const COMMANDS = {
  entry: ['--max-old-space-size=160', 'target/platform.cjs', 'entry'],
  control: ['--max-old-space-size=160', 'target/platform.cjs', 'control']
}
const PORTS = { callers: 8465, readiness: 8460, api: 8462, firstCall: 7560, lastCall: 7575, server: 8240, provider: 8466 }

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

/** Finds a loopback network whose addresses nobody uses; machines get addresses of it. */
async function findNetwork () {
  for (;;) {
    const prefix = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`
    const checks = Object.values(PORTS).flatMap(port => [1, 11, 31].map(async last => await isFree(`${prefix}.${last}`, port)))
    if ((await Promise.all(checks)).every(Boolean)) return prefix
  }
}

function writeSettings ({ name, role, host, zone, zones, seeds, bootstrap, folder, provider }) {
  const listen = role === 'entry'
    ? `FrontAddress = "${host}:${PORTS.callers}"\nReadinessAddress = "${host}:${PORTS.readiness}"`
    : `ControlPlane = "${host}:${PORTS.api}"`
  return `NodeName = "${name}"
Role = "${role}"
MachineClass = "${role === 'entry' ? 'frontend' : 'core'}"
Serves = ["${role === 'entry' ? 'frontend' : 'control_plane'}"]
IpAddress = "${host}"
Zone = "${zone}"
Region = "region-1"
InternalPortRange = [${PORTS.firstCall},${PORTS.lastCall}]
SeedNodes = [${seeds.map(seed => `"${seed}:${PORTS.api}"`).join(',')}]
Bootstrap = ${bootstrap}
FaultCounted = ${role === 'control'}
${role === 'control' ? `DataDirectory = "${join(folder, name)}"\n` : ''}Discovery = "registration"
Entrypoint = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","tenants","quota"]
config_mode = "highest"
[Zones]
${zones.map(each => `${each} = "region-1"`).join('\n')}
[ListenAddresses]
${listen}
[Limits]
CpuShare = 0.8
CpuCores = 1
MemoryMb = 350
FileDescriptors = 4200
BandwidthMbps = 1000.0
DiskMb = ${role === 'control' ? 128 : 0}
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
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
[CloudApi]
Address = "${provider}"
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`
}

/**
 * Starts three control instances, and entry instances in three zones. `providerOf` gives
 * the address at which an instance reaches the provider.
 */
export async function createDeployment ({ record, entries = 3, providerOf }) {
  const prefix = await findNetwork()
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const zones = ['zone-a', 'zone-b', 'zone-c']
  const controlHosts = [1, 2, 3].map(last => `${prefix}.${last}`)
  const machines = new Map()
  let closed = false

  function describeMachine (role, index) {
    const host = `${prefix}.${(role === 'control' ? 1 : 11) + index}`
    return { name: `${role}-${index + 1}`, role, host, zone: zones[index % zones.length] }
  }

  function start (machine, bootstrap) {
    const { name, role } = machine
    const settings = join(folder, `${name}.toml`)
    mkdirSync(join(folder, name), { recursive: true })
    writeFileSync(settings, writeSettings({ ...machine, zones, seeds: controlHosts, bootstrap, folder, provider: providerOf(machine, prefix) }))
    const output = openSync(join(folder, `${name}.log`), 'a')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(process.execPath, COMMANDS[role], { cwd: join(FOLDER, '../..'), env: { PATH, HOME, LANG, CYCLAMENUSHER_SETTINGS: settings }, stdio: ['ignore', output, output] })
    closeSync(output)
    const running = { ...machine, child, exited: false }
    child.once('exit', (code, signal) => {
      running.exited = true
      if (!closed) record(`${name} ended: code ${code}, signal ${signal}`)
    })
    machines.set(name, running)
    return running
  }

  const deployment = {
    prefix,
    folder,
    zones,
    ports: PORTS,
    controlHosts,
    machines,
    startAll: () => {
      for (let index = 0; index < 3; index += 1) start(describeMachine('control', index), true)
      for (let index = 0; index < entries; index += 1) start(describeMachine('entry', index), true)
    },
    restart: name => start(machines.get(name), false),
    signal: (name, signal) => {
      const { child, exited } = machines.get(name)
      record(`${name} gets ${signal}`)
      if (!exited) child.kill(signal)
    },
    /** What a process has logged so far, a line each. */
    readLog: name => readFileSync(join(folder, `${name}.log`), 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line)),
    entryHosts: () => [...machines.values()].filter(({ role }) => role === 'entry').map(({ host }) => host),
    /** Name of the control instance that was last to lead. */
    findLeader: () => {
      const leads = [...machines.values()].filter(({ role, exited }) => role === 'control' && !exited).flatMap(({ name }) => {
        const changes = deployment.readLog(name).filter(({ message }) => message === 'This instance leads the fleet.' || message === 'This instance no longer leads the fleet.')
        const last = changes.at(-1)
        return last?.message === 'This instance leads the fleet.' ? [{ name, term: last.facts.term }] : []
      })
      return leads.sort((left, right) => right.term - left.term)[0]?.name
    },
    close: async () => {
      closed = true
      for (const { child, exited } of machines.values()) if (!exited) child.kill('SIGKILL')
      while ([...machines.values()].some(({ exited }) => !exited)) await new Promise(resolve => { setTimeout(resolve, 20) })
      if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true })
      else console.error(folder)
    }
  }
  return deployment
}
