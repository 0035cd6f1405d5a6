/** Callers that misuse a real entry instance's PostgreSQL listener. */

import { execFileSync } from 'node:child_process'
import { readFileSync, readdirSync } from 'node:fs'
import { connect } from 'node:net'
import pg from 'pg'
import * as assert from 'uvu/assert'
import { FRONTEND, buildFrame, cString } from '@cyclamenusher/protocol'
import { WORKSPACE_FOLDER, startDeployment } from '@cyclamenusher/stand-ins'
import type { Socket } from 'node:net'
import type { Deployment, InstanceProcess } from '@cyclamenusher/stand-ins'

const HOST = '127.0.0.1'
const ACCOUNT = { name: 'alfa', key: 'the key of a test' }
const MAXIMUM_PEAK_MEBIBYTES = 250
export const MAXIMUM_DESCRIPTORS = 100
/** The time limit of a message is 30 s by default. */
export const OBSERVATION_MILLISECONDS = 75_000
export const POLL_MILLISECONDS = 100
const ATTEMPTS = 40
const ATTEMPT_PAUSE_MILLISECONDS = 250

let deployment: Deployment
let entry: InstanceProcess
const sockets: Socket[] = []

/** Builds the programs, and starts three control instances, one entry instance and a group of three servers. */
export async function startPostgres (settings: Record<string, string[]>): Promise<void> {
  // A checkout may have none, or those of other sources.
  execFileSync(process.execPath, ['scripts/build.js'], { cwd: WORKSPACE_FOLDER })
  deployment = await startDeployment({
    failureDomains: ['domain-a', 'domain-b', 'domain-c'],
    entries: 1,
    controls: 3,
    databases: ['main'],
    members: 3,
    accounts: [{ ...ACCOUNT, rate: 100_000, burst: 100_000 }],
    connectionLimit: 25,
    openMilliseconds: 0,
    lagMilliseconds: 0,
    settings
  })
  entry = deployment.entries[0]
}

export function closeSockets (): void {
  for (const socket of sockets.splice(0)) socket.destroy()
}

export const closePostgres = async (): Promise<void> => { await deployment.close() }

export const pause = async (milliseconds: number): Promise<void> => { await new Promise(resolve => { setTimeout(resolve, milliseconds) }) }

function isRunning (): boolean {
  const { child } = entry.process
  return child.exitCode === null && child.signalCode === null
}

function readPeakMemory (): number {
  const [, kibibytes] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${entry.process.child.pid}/status`, 'utf8')) ?? []
  return Math.round(Number(kibibytes) / 1024)
}

const countDescriptors = (): number => readdirSync(`/proc/${entry.process.child.pid}/fd`).length

export async function awaitFewDescriptors (): Promise<number> {
  const until = Date.now() + OBSERVATION_MILLISECONDS
  while (isRunning() && countDescriptors() >= MAXIMUM_DESCRIPTORS && Date.now() < until) await pause(POLL_MILLISECONDS)
  return isRunning() ? countDescriptors() : Infinity
}

export function openSocket (): Socket {
  const socket = connect(entry.callers, HOST)
  socket.on('error', () => {})
  sockets.push(socket)
  return socket
}

/** Opens sessions whose sockets don't read further; some may be refused. */
export async function openSessions (count: number): Promise<Socket[]> {
  return await Promise.all(Array.from({ length: count }, async () => {
    const socket = openSocket()
    const body = Buffer.concat([Buffer.from([0, 3, 0, 0]), ...['user', ACCOUNT.name, 'database', 'main'].map(cString), Buffer.from([0])])
    const length = Buffer.alloc(4)
    length.writeUInt32BE(body.length + 4)
    socket.write(Buffer.concat([length, body]))
    await new Promise(resolve => { socket.once('readable', resolve).once('close', resolve) })
    socket.read()
    socket.write(buildFrame(FRONTEND.password, cString(ACCOUNT.key)))
    await new Promise(resolve => { socket.once('readable', resolve).once('close', resolve) })
    return socket
  }))
}

async function askOrdinarily (): Promise<string> {
  for (let attempt = 1; ; attempt += 1) {
    const client = new pg.Client({ host: HOST, port: entry.callers, user: ACCOUNT.name, password: ACCOUNT.key, database: 'main', connectionTimeoutMillis: 5_000, query_timeout: 5_000 })
    client.on('error', () => {})
    try {
      await client.connect()
      return String((await client.query('select 1 as one')).rows.length)
    } catch (error) {
      if (attempt === ATTEMPTS) return (error as Error).message
      await pause(ATTEMPT_PAUSE_MILLISECONDS)
    } finally {
      await client.end().catch(() => {})
    }
  }
}

export async function checkEntry (): Promise<void> {
  assert.ok(isRunning(), 'the process has ended')
  assert.is(await askOrdinarily(), '1')
  const peak = readPeakMemory()
  assert.ok(peak < MAXIMUM_PEAK_MEBIBYTES, `peak of ${peak} MiB`)
}
