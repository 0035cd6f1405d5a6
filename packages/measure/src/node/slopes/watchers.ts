/** What instances that watch the rules cost a control instance, at rest and while rules change. */

import { readFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { ControlService, createPeerClient } from '@cyclamenusher/protocol'
import { startDeployment } from '@cyclamenusher/stand-ins'
import { fitLine, observeUsage } from './processUsage.js'
import type { Server } from 'node:net'
import type { Deployment } from '@cyclamenusher/stand-ins'
import type { Figures } from '../scenario.js'

const WATCHER_COUNTS = [8, 50, 100, 200]
/** How long control may hold a watch, in milliseconds; the entry instances ask for the same. */
const HOLD_MILLISECONDS = 700
/** Time over which the control instance is watched, in milliseconds. */
const WATCH_MILLISECONDS = 6_000
/** Time between two changes of the rules, in milliseconds. */
const CHANGE_MILLISECONDS = 1_000

interface CountingLink {
  port: number
  /** Bytes that went through, both ways. */
  bytes: () => number
  close: () => void
}

/** Forwards connections to `port` and counts the bytes. */
async function countBytes (port: number): Promise<CountingLink> {
  let bytes = 0
  const server: Server = createServer(near => {
    const far = connect(port, '127.0.0.1')
    near.on('data', (chunk: Buffer) => { bytes += chunk.length })
    far.on('data', (chunk: Buffer) => { bytes += chunk.length })
    near.pipe(far).pipe(near)
    near.on('error', () => { far.destroy() })
    far.on('error', () => { near.destroy() })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = server.address()
  return { port: typeof address === 'object' && address !== null ? address.port : 0, bytes: () => bytes, close: () => { server.close() } }
}

interface Watcher {
  number: () => number
  close: () => void
}

function createWatcher (name: string, port: number, secret: string, onNumber: (number: number, at: number) => void): Watcher {
  const client = createPeerClient(ControlService, '127.0.0.1', port, { secret })
  let closed = false
  let number = 0
  let instances = 0n
  const run = async (): Promise<void> => {
    while (!closed) {
      try {
        const reply = await client.watch({ instance: { name, failureDomain: 'domain-a', role: 'entry', host: '127.0.0.1', port: 1 }, knownNumber: BigInt(number), holdMilliseconds: HOLD_MILLISECONDS, knownInstances: instances }, { timeoutMs: 3_000 })
        instances = reply.instancesRevision
        if (Number(reply.number) > number) {
          number = Number(reply.number)
          onNumber(number, performance.now())
        }
      } catch {
        await new Promise(resolve => setTimeout(resolve, 200))
      }
    }
  }
  void run()
  return { number: () => number, close: () => { closed = true } }
}

async function changeRules (deployment: Deployment, times: number, acceptedAt: Map<number, number>): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    deployment.rules.set('accounts.measured', `accounts.measured = { rate = ${100 + index}, burst = 100 } # asked for by the measurement`)
    const startedAt = performance.now()
    await deployment.applyRules()
    acceptedAt.set(deployment.number(), performance.now())
    await new Promise(resolve => setTimeout(resolve, Math.max(0, CHANGE_MILLISECONDS - (performance.now() - startedAt))))
  }
}

export async function measureWatchers (): Promise<Figures> {
  const deployment = await startDeployment({
    failureDomains: ['domain-a'], entries: 0, controls: 1, databases: [], members: 3, accounts: [], connectionLimit: 25, openMilliseconds: 0, lagMilliseconds: 0
  })
  const [control] = deployment.controls
  const secret = readFileSync(deployment.secretFile, 'utf8').trim()
  const link = await countBytes(control.calls)
  const watchers: Watcher[] = []
  const seen = new Map<number, number>()
  try {
    const figures: Figures = {}
    const rest: Array<{ x: number, y: number }> = []
    const bytes: Array<{ x: number, y: number }> = []
    const memory: Array<{ x: number, y: number }> = []
    for (const count of WATCHER_COUNTS) {
      while (watchers.length < count) {
        watchers.push(createWatcher(`watcher-${watchers.length}`, link.port, secret, (number, at) => { seen.set(number, Math.max(at, seen.get(number) ?? 0)) }))
      }
      await new Promise(resolve => setTimeout(resolve, 2_000))
      const bytesBefore = link.bytes()
      const calm = await observeUsage(control.process.child.pid ?? 0, WATCH_MILLISECONDS)
      const bytesASecond = (link.bytes() - bytesBefore) / (WATCH_MILLISECONDS / 1000)
      const acceptedAt = new Map<number, number>()
      const changesBytesBefore = link.bytes()
      const [changing] = await Promise.all([observeUsage(control.process.child.pid ?? 0, WATCH_MILLISECONDS), changeRules(deployment, WATCH_MILLISECONDS / CHANGE_MILLISECONDS, acceptedAt)])
      await new Promise(resolve => setTimeout(resolve, 1_500))
      const changeBytes = (link.bytes() - changesBytesBefore - bytesASecond * (WATCH_MILLISECONDS / 1000 + 1.5)) / acceptedAt.size / count
      // The operator's process ends a little after the acceptance, so some spreads come out below zero.
      const spreads = [...acceptedAt].map(([number, at]) => (seen.get(number) ?? Infinity) - at)
      rest.push({ x: count, y: calm.coreShare })
      bytes.push({ x: count, y: bytesASecond })
      memory.push({ x: count, y: calm.residentBytes })
      figures[`watchers ${count}`] = {
        coreShare: Number(calm.coreShare.toFixed(4)),
        coreShareWithAChangeASecond: Number(changing.coreShare.toFixed(4)),
        bytesASecond: Math.round(bytesASecond),
        bytesAChangeForEach: Math.round(changeBytes),
        slowestSeenAfterAcceptanceMilliseconds: Math.round(Math.max(...spreads)),
        residentBytes: calm.residentBytes
      }
    }
    figures['processor, milliseconds a second for each watcher'] = Number((fitLine(rest).slope * 1000).toFixed(3))
    figures['bytes a second for each watcher'] = Math.round(fitLine(bytes).slope)
    figures['memory, bytes a watcher'] = Math.round(fitLine(memory).slope)
    return figures
  } finally {
    for (const watcher of watchers) watcher.close()
    link.close()
    await deployment.close()
  }
}
