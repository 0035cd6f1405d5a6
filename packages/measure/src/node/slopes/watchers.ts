/** Measures what each instance that watches the rules costs a control instance, while rules change and while they don't. */

import { readFileSync } from 'node:fs'
import { connect, createServer } from 'node:net'
import { ControlService, createPeerClient } from '@cyclamenusher/protocol'
import { startDeployment } from '@cyclamenusher/stand-ins'
import { fitLine, observeUsage } from './processUsage.js'
import type { Server } from 'node:net'
import type { Deployment } from '@cyclamenusher/stand-ins'
import type { Figures } from '../scenario.js'

const WATCHER_COUNTS = [8, 50, 100, 200]
/** How long control may hold a watch, in milliseconds; the entry instances request the same. */
const MAXIMUM_HOLD_MILLISECONDS = 700
/** Time over which the control instance's usage is measured, in milliseconds. */
const OBSERVATION_MILLISECONDS = 6_000
/** Interval between changes of the rules, in milliseconds. */
const CHANGE_INTERVAL_MILLISECONDS = 1_000

interface CountingLink {
  port: number
  /** Bytes forwarded so far, in both directions. */
  bytes: () => number
  close: () => void
}

/** Starts a server that forwards its connections to `port` and counts the bytes. */
async function startCountingLink (port: number): Promise<CountingLink> {
  let bytes = 0
  const server: Server = createServer(clientSocket => {
    const targetSocket = connect(port, '127.0.0.1')
    clientSocket.on('data', (chunk: Buffer) => { bytes += chunk.length })
    targetSocket.on('data', (chunk: Buffer) => { bytes += chunk.length })
    clientSocket.pipe(targetSocket).pipe(clientSocket)
    clientSocket.on('error', () => { targetSocket.destroy() })
    targetSocket.on('error', () => { clientSocket.destroy() })
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
  let instancesRevision = 0n
  const watchRules = async (): Promise<void> => {
    while (!closed) {
      try {
        const reply = await client.watch({ instance: { name, failureDomain: 'domain-a', role: 'entry', host: '127.0.0.1', port: 1 }, knownNumber: BigInt(number), holdMilliseconds: MAXIMUM_HOLD_MILLISECONDS, knownInstances: instancesRevision }, { timeoutMs: 3_000 })
        instancesRevision = reply.instancesRevision
        if (Number(reply.number) > number) {
          number = Number(reply.number)
          onNumber(number, performance.now())
        }
      } catch {
        await new Promise(resolve => setTimeout(resolve, 200))
      }
    }
  }
  void watchRules()
  return { number: () => number, close: () => { closed = true } }
}

async function changeRules (deployment: Deployment, count: number, acceptedAt: Map<number, number>): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    deployment.rules.set('accounts.measured', `accounts.measured = { rate = ${100 + index}, burst = 100 } # asked for by the measurement`)
    const startedAt = performance.now()
    await deployment.applyRules()
    acceptedAt.set(deployment.number(), performance.now())
    await new Promise(resolve => setTimeout(resolve, Math.max(0, CHANGE_INTERVAL_MILLISECONDS - (performance.now() - startedAt))))
  }
}

export async function measureWatchers (): Promise<Figures> {
  const deployment = await startDeployment({
    failureDomains: ['domain-a'], entries: 0, controls: 1, databases: [], members: 3, accounts: [], connectionLimit: 25, openMilliseconds: 0, lagMilliseconds: 0
  })
  const [control] = deployment.controls
  const secret = readFileSync(deployment.secretFile, 'utf8').trim()
  const link = await startCountingLink(control.calls)
  const watchers: Watcher[] = []
  const lastSeenAt = new Map<number, number>()
  try {
    const figures: Figures = {}
    const processorPoints: Array<{ x: number, y: number }> = []
    const bytePoints: Array<{ x: number, y: number }> = []
    const memoryPoints: Array<{ x: number, y: number }> = []
    for (const count of WATCHER_COUNTS) {
      while (watchers.length < count) {
        watchers.push(createWatcher(`watcher-${watchers.length}`, link.port, secret, (number, at) => { lastSeenAt.set(number, Math.max(at, lastSeenAt.get(number) ?? 0)) }))
      }
      await new Promise(resolve => setTimeout(resolve, 2_000))
      const bytesBefore = link.bytes()
      const idleUsage = await observeUsage(control.process.child.pid ?? 0, OBSERVATION_MILLISECONDS)
      const bytesASecond = (link.bytes() - bytesBefore) / (OBSERVATION_MILLISECONDS / 1000)
      const acceptedAt = new Map<number, number>()
      const bytesBeforeChanges = link.bytes()
      const [changeUsage] = await Promise.all([observeUsage(control.process.child.pid ?? 0, OBSERVATION_MILLISECONDS), changeRules(deployment, OBSERVATION_MILLISECONDS / CHANGE_INTERVAL_MILLISECONDS, acceptedAt)])
      await new Promise(resolve => setTimeout(resolve, 1_500))
      const changeBytes = (link.bytes() - bytesBeforeChanges - bytesASecond * (OBSERVATION_MILLISECONDS / 1000 + 1.5)) / acceptedAt.size / count
      // The time of acceptance is taken when the operator's process ends, a little after the acceptance, so some spreads are negative.
      const spreads = [...acceptedAt].map(([number, at]) => (lastSeenAt.get(number) ?? Infinity) - at)
      processorPoints.push({ x: count, y: idleUsage.coreShare })
      bytePoints.push({ x: count, y: bytesASecond })
      memoryPoints.push({ x: count, y: idleUsage.residentBytes })
      figures[`watchers ${count}`] = {
        coreShare: Number(idleUsage.coreShare.toFixed(4)),
        coreShareWithAChangeASecond: Number(changeUsage.coreShare.toFixed(4)),
        bytesASecond: Math.round(bytesASecond),
        bytesAChangeForEach: Math.round(changeBytes),
        slowestSeenAfterAcceptanceMilliseconds: Math.round(Math.max(...spreads)),
        residentBytes: idleUsage.residentBytes
      }
    }
    figures['processor, milliseconds a second for each watcher'] = Number((fitLine(processorPoints).slope * 1000).toFixed(3))
    figures['bytes a second for each watcher'] = Math.round(fitLine(bytePoints).slope)
    figures['memory, bytes a watcher'] = Math.round(fitLine(memoryPoints).slope)
    return figures
  } finally {
    for (const watcher of watchers) watcher.close()
    link.close()
    await deployment.close()
  }
}
