import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createConnection } from '../connection.js'
import { CommandError } from '../errors.js'
import { runProgram } from '../program.js'
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
