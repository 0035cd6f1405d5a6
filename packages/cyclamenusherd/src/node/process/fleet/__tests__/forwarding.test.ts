import { connect, createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { NO_TOLERANCE } from '@cyclamenusher/decisions'
import { FleetService, listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { encodeBody } from '../bodies.js'
import { createFleetControl } from '../fleetControl.js'
import { CREDENTIALS, HOST, createAnnouncement, createDocument, waitUntil } from './fleetHarness.js'
import type { Socket } from 'node:net'
import type { Declaration, FleetCommand, FleetOutcome } from '@cyclamenusher/decisions'
import type { ConsensusLog } from '../../control/consensusLog.js'

/** How long the leader takes for a declaration, in milliseconds. */
const DECLARATION_MILLISECONDS = 300

/** A control instance that follows a leader, behind a path on which open connections can go silent. */
async function createFollower () {
  const calls = await listenForCalls(HOST, 0, CREDENTIALS, router => {
    router.service(FleetService, {
      announce: () => ({ body: encodeBody(true) }),
      declare: async () => {
        await new Promise(resolve => setTimeout(resolve, DECLARATION_MILLISECONDS))
        return { body: encodeBody('held') }
      }
    })
  })
  const silenced = new Set<Socket>()
  const sockets = new Set<Socket>()
  const proxy = createServer(socket => {
    const target = connect(calls.port, HOST)
    for (const [from, to] of [[socket, target], [target, socket]]) {
      sockets.add(from)
      from.on('data', (chunk: Buffer) => { if (!silenced.has(from)) to.write(chunk) })
      from.on('error', () => {})
    }
  })
  await new Promise<void>(resolve => { proxy.listen(0, HOST, resolve) })
  const address = proxy.address()
  const leader = { host: HOST, port: typeof address === 'object' && address !== null ? address.port : 0 }
  const control = createFleetControl({
    name: 'control-1',
    administration: { askStatus: async () => { throw new Error('no server') }, stepDown: async () => { throw new Error('no server') }, close: () => {} },
    promotion: { promote: async () => 'not sent' },
    announceIntervalMilliseconds: 60_000,
    drainMilliseconds: 7_000,
    rateTolerance: NO_TOLERANCE,
    decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration,
    credentials: CREDENTIALS,
    clock: systemClock,
    logger: { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  })
  control.attach({ leader: () => leader, isLeader: () => false, hasLeaderLease: () => false, term: () => 1 } as unknown as ConsensusLog<FleetCommand, FleetOutcome>)
  const announce = async (): Promise<boolean> => await control.notify({ kind: 'announced', announcement: createAnnouncement('p') })
  await waitUntil('an answer of the leader', announce)
  return {
    control,
    announce,
    silence: () => { for (const socket of sockets) silenced.add(socket) },
    stop: async () => {
      control.close()
      proxy.close()
      for (const socket of sockets) socket.destroy()
      await calls.close()
    }
  }
}

// Each announcement that timed out on the silent connection ended the calls on its successor.
test('a declaration fails because announcements before it went to a silent connection', async () => {
  const { control, announce, silence, stop } = await createFollower()
  silence()
  const lost = Array.from({ length: 10 }, async (_, index) => {
    await new Promise(resolve => setTimeout(resolve, index * 70))
    return await announce()
  })
  await lost[0]
  const outcome = await control.declare(createDocument(1))
  await Promise.all(lost)
  await stop()
  assert.is(outcome, 'held')
})

test.run()
