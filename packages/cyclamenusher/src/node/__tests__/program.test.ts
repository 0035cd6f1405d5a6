import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { digestKey } from '@cyclamenusher/decisions'
import { createConnection } from '../connection.js'
import { CommandError } from '../errors.js'
import { runProgram } from '../program.js'
import type { ExplanationRefusal, ExplanationRequest, OperationExplanation } from '@cyclamenusher/decisions'
import type { Connection } from '../connection.js'

/** A loopback address that no other process uses: a port that was closed there stays closed. */
const PROCESS_HOST = `127.${1 + (process.pid >> 16) % 254}.${(process.pid >> 8) % 256}.${process.pid % 256}`

const folder = mkdtempSync(join(tmpdir(), 'cyclamenusher-command-'))
const validRules = join(folder, 'good.toml')
const invalidRules = join(folder, 'bad.toml')
writeFileSync(validRules, 'accounts.clinic = { rate = 1, burst = 1 } # asked for by Ana\n')
writeFileSync(invalidRules, 'accounts.clinic = { rate = 1, burst = 1 }\n')

const STATUS = { instance: 'control-1', role: 'leader', term: 3, leader: 'control-1', commitIndex: 9, number: 4, voters: ['control-1'], members: [{ name: 'control-1', role: 'voter', failureDomain: 'a', address: '127.0.0.1:1', identity: 'f00' }], candidates: [], instances: [] }

function createConnect (parts: Partial<Connection>): () => Connection {
  return () => parts as Connection
}

async function run (line: string, connect: typeof createConnection = createConnection): Promise<{ code: number, output: string, errors: string }> {
  const output: string[] = []
  const errors: string[] = []
  const code = await runProgram(['node', 'cyclamenusher', ...line.split(' ')], { connect, write: text => { output.push(text) }, writeError: text => { errors.push(text) } })
  return { code, output: output.join('\n'), errors: errors.join('\n') }
}

function connectWithOutcome (outcome: string): () => Connection {
  return createConnect({ submit: async () => ({ $typeName: 'cyclamenusher.v1.SubmitReply', outcome, number: 7n, winnerDigest: 'd', winnerOperator: 'rosa', message: `it is ${outcome}` }) })
}

test('check reports faulty and missing files', async () => {
  assert.is((await run(`check ${validRules}`)).code, 0)
  const faulty = await run(`check ${invalidRules}`)
  assert.is(faulty.code, 3)
  assert.match(faulty.errors, /bad\.toml:1: accounts\.clinic does not say who asked for it\. Add a comment/)
  const missing = await run('check nowhere.toml')
  assert.is(missing.code, 2)
  assert.match(missing.errors, /nowhere\.toml can't be read \(ENOENT\)/)
})

test('wrong usage exits with code 2 and a message', async () => {
  for (const line of ['bake', 'check', `apply ${validRules}`, `apply ${validRules} --number x`, 'member sing --secret-file x', 'status', 'status --taste sweet', 'member add --control 127.0.0.1:1']) {
    const { code, errors } = await run(line)
    assert.is(code, 2, `${line}: ${errors}`)
    assert.ok(errors.length > 10, line)
  }
})

test('apply maps outcomes to exit codes', async () => {
  const codes = { accepted: 0, conflict: 4, unknown: 5, invalid: 6, 'not leader': 1 }
  for (const [outcome, expected] of Object.entries(codes)) {
    const { code, output } = await run(`apply ${validRules} --number 7 --json`, connectWithOutcome(outcome))
    assert.is(code, expected, outcome)
    assert.is((JSON.parse(output) as { outcome: string }).outcome, outcome)
  }
})

test('a refused connection exits as unreachable, a lost answer as unknown', async () => {
  const secret = join(folder, 'secret')
  writeFileSync(secret, 'a secret of the tests')
  const server = createServer(socket => { socket.on('data', () => { socket.destroy() }) })
  const port = await new Promise<number>(resolve => { server.listen(0, PROCESS_HOST, () => { resolve((server.address() as { port: number }).port) }) })
  const lost = await run(`apply ${validRules} --number 7 --control ${PROCESS_HOST}:${port} --secret-file ${secret}`)
  assert.is(lost.code, 5, lost.errors)
  assert.match(lost.errors, /Apply it again with the same number and content/)
  await new Promise(resolve => { server.close(resolve) })
  const refused = await run(`apply ${validRules} --number 7 --control ${PROCESS_HOST}:${port} --secret-file ${secret}`)
  assert.is(refused.code, 1, refused.errors)
})

test('status and member list print tables, a refused change has its exit code', async () => {
  const connect = createConnect({ fetchStatuses: async () => [STATUS] })
  assert.match((await run('status', connect)).output, /control-1 +leader +3 +control-1 +9 +4/)
  assert.match((await run('member list', connect)).output, /control-1 +voter +a +127\.0\.0\.1:1 +f00/)
  const refusing = createConnect({ changeMember: async () => ({ $typeName: 'cyclamenusher.v1.ChangeMemberReply', outcome: 'refused', message: 'no' }) })
  assert.is((await run('member remove control-1', refusing)).code, 6)
})

test('history prints the rules of a number, or that they are no longer kept', async () => {
  const connect = createConnect({ history: async (from, _limit, withContent) => [{ number: from, digest: 'd', operator: 'ana', acceptedAt: 'now', content: withContent && from === 4 ? 'the rules' : '' }] })
  assert.is((await run('history --number 4', connect)).output, 'the rules')
  const gone = await run('history --number 3', connect)
  assert.is(gone.code, 6)
  assert.match(gone.errors, /no longer kept/)
})

test('an error of the connection sets the exit code', async () => {
  const failing = createConnect({ fetchStatuses: async () => { throw new CommandError('unreachable', 'nobody answered', 'Check it') } })
  const { code, errors } = await run('status', failing)
  assert.is(code, 1)
  assert.is(errors, 'nobody answered. Check it.')
})

const EXPLANATION: OperationExplanation = {
  instance: 'entry-1',
  version: 7,
  isCurrent: true,
  database: 'padron',
  kind: 'read',
  route: { name: 'r', prefix: '/', group: 'g', readPolicy: 'bounded staleness', maximumStalenessMilliseconds: 500, priority: 1, statementMilliseconds: 1_000 },
  account: 'clinic',
  rate: { ratePerSecond: 10, share: 0.5, tokens: 3, prefetched: 0, source: 'this instance' },
  holders: [{ name: 'entry-2', failureDomain: 'a', address: '127.0.0.1:2', readiness: 'ready', isAllowed: true }],
  selection: { kind: 'send', name: 'entry-2', address: '127.0.0.1:2' }
}
const PLACEMENT: OperationExplanation['placement'] = {
  group: 'g',
  need: { kind: 'position', position: { term: 3, position: 10 } },
  outcome: { kind: 'selected', member: 'm-1' },
  waiting: 0,
  servers: [
    { member: 'm-1', role: 'replica', failureDomain: 'a', selected: true, position: { term: 3, position: 11 }, outstanding: 1, allowed: 3, connection: 'match', averageMilliseconds: 4, expectedWaitMilliseconds: 5 },
    { member: 'm-2', role: 'primary', failureDomain: 'b', selected: false, outstanding: 3, allowed: 3, connection: 'none', averageMilliseconds: 4, reason: 'it is busy' }
  ]
}

function connectForWhere (requests: Array<{ request: ExplanationRequest, address?: string }>): () => Connection {
  return createConnect({
    where: async (request, address) => {
      requests.push({ request, address })
      return { kind: 'explained', explanation: request.asHolder === true ? { ...EXPLANATION, placement: PLACEMENT, selection: { kind: 'run here' } } : EXPLANATION }
    }
  })
}

// The holder selects the server; the caller's instance knows less of the servers.
test('where prints the servers as another instance than the holder sees them', async () => {
  const requests: Array<{ request: ExplanationRequest, address?: string }> = []
  const { code, output } = await run('where padron --kind read --account 007 --position 3.10', connectForWhere(requests))
  assert.is(code, 0)
  const request: ExplanationRequest = { database: 'padron', kind: 'read', account: '007', position: { term: 3, position: 10 } }
  assert.equal(requests, [{ request, address: undefined }, { request: { ...request, asHolder: true }, address: '127.0.0.1:2' }])
  assert.match(output, /rate: 3 tokens left here/)
  assert.match(output, /runs at: entry-2 \(127\.0\.0\.1:2\)/)
  assert.match(output, /goes to: server m-1/)
  assert.match(output, /m-1 +replica +a +3\.11 +1\/3 +4 ms +5 ms +selected\nm-2 +primary +b +- +3\/3 +4 ms +- +it is busy/)
  const json = JSON.parse((await run('where padron --json', connectForWhere([]))).output) as { atHolder: { reply: { explanation: OperationExplanation } } }
  assert.equal(json.atHolder.reply.explanation.placement, PLACEMENT)
})

test('where sends or prints the key', async () => {
  const keyFile = join(folder, 'key')
  writeFileSync(keyFile, 'clinic-key\n')
  const requests: Array<{ request: ExplanationRequest }> = []
  const { output, errors } = await run(`where padron --key-file ${keyFile} --json`, connectForWhere(requests))
  assert.is(requests[0].request.keyDigest, digestKey('clinic-key'))
  assert.not.match(JSON.stringify(requests) + output + errors, /clinic-key/)
})

test('a holder that can not be asked hides the answer of the entry instance', async () => {
  const connect = createConnect({
    where: async ({ asHolder }) => {
      if (asHolder === true) throw new CommandError('unreachable', 'it did not answer', 'Check it')
      return { kind: 'explained', explanation: EXPLANATION }
    }
  })
  const { code, output } = await run('where padron', connect)
  assert.is(code, 0)
  assert.match(output, /the holder selects the server, and could not be asked: it did not answer/)
})

test('where exits with code 0 on wrong use, or on a refusal of the instance', async () => {
  for (const line of ['where', 'where padron --kind delete', 'where padron --position 3', 'where padron --position x.y', 'where padron --account a --key-file b', 'where padron --key-file nowhere']) {
    assert.is((await run(line, connectForWhere([]))).code, 2, line)
  }
  const refusals = { 'no declaration': /reached control/, 'database unknown': /no such route/, 'account unknown': /no such account/, 'key refused': /--key-file/ }
  for (const [reason, remedy] of Object.entries(refusals)) {
    const { code, errors } = await run('where padron', createConnect({ where: async () => ({ kind: 'refused', reason: reason as ExplanationRefusal, explanation: 'it is so' }) }))
    assert.is(code, 6, reason)
    assert.match(errors, remedy)
  }
})

test.after(() => { rmSync(folder, { recursive: true }) })
test('domain orders have other exit codes than their outcomes', async () => {
  const orders: Array<[string, boolean]> = []
  const connect = createConnect({
    listDomains: async () => [{ name: 'a', drained: true }, { name: 'b', drained: false }],
    orderDomain: async (name, drained) => orders.push([name, drained]) > 0 && name === 'a'
  })
  assert.is((await run('domain drain a', connect)).code, 0)
  assert.is((await run('domain restore a', connect)).code, 0)
  assert.match((await run('domain drain nowhere', connect)).errors, /no failure domain nowhere/)
  assert.is((await run('domain drain', connect)).code, 2)
  assert.match((await run('domain list', connect)).output, /a +drained\nb +in use/)
  assert.equal(orders, [['a', true], ['a', false], ['nowhere', true]])
})

test.run()
