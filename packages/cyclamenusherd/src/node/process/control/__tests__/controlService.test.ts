import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createControlService } from '../controlService.js'
import { createRecordingLogger, rules } from './controlInstances.js'
import type { ConfigurationCommand, SubmitOutcome } from '@cyclamenusher/decisions'
import type { ConsensusLog } from '../consensusLog.js'
import type { ControlService, WatchAnswer } from '../controlService.js'
import type { ProposeOutcome } from '../replicatedLog.js'

interface FakeLog {
  leads: boolean
  confirms: boolean
  term: number
  outcome?: ProposeOutcome<SubmitOutcome>
}

function createService (): { service: ControlService, log: FakeLog, advanceClock: (milliseconds: number) => void, watch: (name: string, known?: bigint) => Promise<WatchAnswer> } {
  let now = 100_000
  const service = createControlService({ now: () => now }, createRecordingLogger([]))
  const log: FakeLog = { leads: true, confirms: true, term: 2 }
  const fake: Partial<ConsensusLog<ConfigurationCommand, SubmitOutcome>> = {
    isLeader: () => log.leads,
    confirmLeadership: async () => log.confirms,
    leader: () => ({ identity: 'x', name: 'control-2', failureDomain: 'b', host: '127.0.0.1', port: 2, role: 'voter' }),
    status: () => ({ role: 'follower', term: log.term, leader: 'control-2', commitIndex: 0, voters: [], members: [], candidates: [] }),
    propose: async command => log.outcome ?? { kind: 'applied', result: service.stateMachine.apply(command) }
  }
  service.attach(fake as ConsensusLog<ConfigurationCommand, SubmitOutcome>)
  const watch = async (name: string, known = 0n): Promise<WatchAnswer> => await service.watch({
    $typeName: 'cyclamenusher.v1.WatchRequest',
    instance: { $typeName: 'cyclamenusher.v1.Instance', name, failureDomain: 'a', role: 'entry', host: '127.0.0.1', port: 1 },
    knownNumber: 0n,
    holdMilliseconds: 0,
    knownInstances: known,
    behind: []
  })
  return { service, log, advanceClock: milliseconds => { now += milliseconds }, watch }
}

async function submit (service: ControlService, number: number, content: string): Promise<string> {
  return (await service.submit({ $typeName: 'cyclamenusher.v1.SubmitRequest', number: BigInt(number), content, operator: 'ana' })).outcome
}

test('only answers of a confirmed leader are fresh', async () => {
  const { log, watch } = createService()
  assert.is((await watch('entry-1')).fresh, true)
  log.confirms = false
  assert.is((await watch('entry-1')).fresh, false)
  log.leads = false
  log.confirms = true
  const answer = await watch('entry-1')
  assert.is(answer.fresh, false)
  assert.is(answer.leader?.name, 'control-2')
})

test('equal lists of instances have equal revisions, different lists differ', async () => {
  const left = createService()
  const right = createService()
  await left.watch('entry-1')
  const both = await left.watch('entry-2')
  await right.watch('entry-2')
  assert.is((await right.watch('entry-1')).instancesRevision, both.instancesRevision)
  const other = createService()
  await other.watch('entry-1')
  assert.is.not((await other.watch('entry-3')).instancesRevision, both.instancesRevision)
})

test('a new leader collects instances before it reports them', async () => {
  const { log, advanceClock, watch } = createService()
  const known = (await watch('entry-1')).instancesRevision
  log.leads = false
  await watch('entry-1', known)
  log.leads = true
  assert.equal((await watch('entry-2', known)).instances, [])
  assert.is((await watch('entry-2', known)).instancesRevision, known)
  advanceClock(2_000)
  assert.is((await watch('entry-2', known)).instances.length, 1)
})

test('the leader of the first term reports instances at once', async () => {
  const { log, watch } = createService()
  log.term = 1
  const known = (await watch('entry-1')).instancesRevision
  assert.is((await watch('entry-2', known)).instances.length, 2)
})

test('outcomes of a submission', async () => {
  const { service, log } = createService()
  assert.is(await submit(service, 1, 'accounts.clinic = { rate = 1 }'), 'invalid')
  assert.is(await submit(service, 1, rules(1)), 'accepted')
  log.outcome = { kind: 'unknown' }
  assert.is(await submit(service, 2, rules(2)), 'unknown')
  assert.is(await submit(service, 1, rules(1)), 'accepted')
  log.confirms = false
  assert.is(await submit(service, 1, rules(1)), 'not leader')
})

test('a snapshot restores the state', async () => {
  const { service } = createService()
  await submit(service, 1, rules(1))
  const other = createService()
  other.service.stateMachine.restore(service.stateMachine.snapshot())
  assert.is(other.service.number(), 1)
  assert.is(await submit(other.service, 1, rules(1)), 'accepted')
  assert.is(await submit(other.service, 1, rules(2)), 'conflict')
})

test.run()
