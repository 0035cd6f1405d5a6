/** Runs control instances in this process, over loopback, with data folders that tests can delete. */

import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { openConsensusLog } from '../consensusLog.js'
import { createControlService } from '../controlService.js'
import { SYSTEM_DISK } from '../logStorage.js'
import { PROCESS_HOST, findFreePort } from './loopback.js'
import type { ConfigurationCommand, SubmitOutcome } from '@cyclamenusher/decisions'
import type { CallServer } from '@cyclamenusher/protocol'
import type { ScopedLogger } from '../../logger.js'
import type { ConsensusLog } from '../consensusLog.js'
import type { ControlService } from '../controlService.js'
import type { Disk } from '../logStorage.js'

const HOST = PROCESS_HOST
export const CREDENTIALS = { secret: 'a secret of the tests' }
/** Only bounds a test that would hang otherwise. */
const WAIT_TIMEOUT_MILLISECONDS = 15_000

export interface Instance {
  name: string
  folder: string
  log: ConsensusLog<ConfigurationCommand, SubmitOutcome>
  service: ControlService
  calls: CallServer
}

/** A logger that appends its messages to `lines`. */
export function createRecordingLogger (lines: string[]): ScopedLogger {
  const record = (sentence: string): void => { lines.push(sentence) }
  return { error: record, warn: record, info: record, debug: record }
}

export function createTemporaryFolder (): string {
  return mkdtempSync(join(tmpdir(), 'cyclamenusher-control-'))
}

export interface FillingDisk {
  disk: Disk
  setFull: (full: boolean) => void
  /** Number of writes that were refused. */
  refusals: () => number
}

/** A disk that can be full: it then writes the first half of what it is given, and refuses the rest. */
export function createFillingDisk (): FillingDisk {
  let isFull = false
  let refusals = 0
  const disk: Disk = {
    ...SYSTEM_DISK,
    write: (descriptor, bytes) => {
      SYSTEM_DISK.write(descriptor, isFull ? bytes.subarray(0, bytes.length / 2) : bytes)
      if (!isFull) return
      refusals += 1
      throw new Error('ENOSPC: no space left on device, write')
    }
  }
  return { disk, setFull: full => { isFull = full }, refusals: () => refusals }
}

export function rules (rate: number): string {
  return `accounts.clinic = { rate = ${rate}, burst = 4 } # asked for by a test\n`
}

export async function waitUntil (description: string, condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MILLISECONDS
  while (!await condition()) {
    if (Date.now() > deadline) throw new Error(`timed out waiting for: ${description}`)
    await new Promise(resolve => setTimeout(resolve, 25))
  }
}

export async function createInstances (count: number) {
  const root = createTemporaryFolder()
  const ports = await Promise.all(Array.from({ length: count }, findFreePort))
  const addresses = ports.map(port => ({ host: HOST, port }))
  const running = new Map<string, Instance>()
  const lines: string[] = []
  const logger = createRecordingLogger(lines)

  /** `listed` is the number of control instances that the settings name. */
  async function start (index: number, { disk, listed = count }: { disk?: Disk, listed?: number } = {}): Promise<Instance> {
    const name = `control-${index + 1}`
    const folder = join(root, name)
    const service = createControlService(systemClock, logger)
    const log = openConsensusLog({ name, failureDomain: `domain-${index}`, address: addresses[index], addresses: () => addresses.slice(0, listed), dataFolder: folder, stateMachine: service.stateMachine, credentials: CREDENTIALS, clock: systemClock, logger, disk })
    service.attach(log)
    const calls = await listenForCalls(HOST, ports[index], CREDENTIALS, log.routes)
    const instance = { name, folder, log, service, calls }
    running.set(name, instance)
    return instance
  }

  async function stop (instance: Instance): Promise<void> {
    running.delete(instance.name)
    await instance.calls.close()
    await instance.log.close()
  }

  function leader (): Instance | undefined {
    return [...running.values()].find(({ log }) => log.isLeader())
  }

  /** Submits to the leader until the outcome is known. */
  async function submit (number: number, content: string, operator = 'test') {
    let answer: Awaited<ReturnType<ControlService['submit']>> | undefined
    await waitUntil(`an answer to number ${number}`, async () => {
      answer = await leader()?.service.submit({ $typeName: 'cyclamenusher.v1.SubmitRequest', number: BigInt(number), content, operator })
      return answer !== undefined && answer.outcome !== 'not leader' && answer.outcome !== 'unknown'
    })
    return answer as NonNullable<typeof answer>
  }

  /** Waits until there are `count` members, all voters, and `removedIdentity` is not one of them. */
  async function waitUntilRepaired (count: number, removedIdentity?: string): Promise<void> {
    await waitUntil(`${count} voters`, () => {
      const { members } = leader()?.log.status() ?? { members: [] }
      const voters = members.filter(({ role }) => role === 'voter')
      return members.length === count && voters.length === count && members.every(({ identity }) => identity !== removedIdentity)
    })
  }

  return {
    lines,
    running,
    start,
    stop,
    leader,
    submit,
    waitUntilRepaired,
    loseDisk: ({ folder }: Instance) => { rmSync(folder, { recursive: true, force: true }) },
    close: async () => {
      await Promise.all([...running.values()].map(stop))
      rmSync(root, { recursive: true, force: true })
    }
  }
}
