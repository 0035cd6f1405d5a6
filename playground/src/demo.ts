/** The demonstration: a small fleet, callers, and failures. */

import pg from 'pg'
import { createFleet, digestOf } from '@cyclamenusher/stand-ins'
import type { Fleet, FleetProcess } from '@cyclamenusher/stand-ins'

interface EntryInstance { name: string, callers: number, calls: number, process: FleetProcess }

async function startControl (fleet: Fleet, secret: string): Promise<number> {
  const calls = await fleet.freePort()
  const metrics = await fleet.freePort()
  const file = fleet.write('control-1.toml', [
    '[instance]', 'name = "control-1"', 'failure_domain = "domain-a"', 'roles = ["control"]', 'data_folder = "control-1"',
    '[calls]', `listen = "127.0.0.1:${calls}"`, `secret_file = "${secret}"`,
    '[control]', `addresses = ["127.0.0.1:${calls}"]`,
    '[backend]', `password_file = "${fleet.write('password', 'system-password')}"`,
    '[metrics]', `listen = "127.0.0.1:${metrics}"`
  ].join('\n'))
  fleet.start('control-1', 'daemon', ['--config', file])
  return calls
}

async function startEntry (fleet: Fleet, name: string, domain: string, secret: string, control: number): Promise<EntryInstance> {
  const [callers, calls, metrics] = [await fleet.freePort(), await fleet.freePort(), await fleet.freePort()]
  const file = fleet.write(`${name}.toml`, [
    '[instance]', `name = "${name}"`, `failure_domain = "${domain}"`,
    '[callers]', `listen = "127.0.0.1:${callers}"`, 'clear_text_keys = true',
    '[calls]', `listen = "127.0.0.1:${calls}"`, `secret_file = "${secret}"`,
    '[control]', `addresses = ["127.0.0.1:${control}"]`,
    '[backend]', `password_file = "${fleet.write('password', 'system-password')}"`,
    '[metrics]', `listen = "127.0.0.1:${metrics}"`
  ].join('\n'))
  return { name, callers, calls, process: fleet.start(name, 'daemon', ['--config', file]) }
}

async function connect (port: number, key: string, token?: string): Promise<pg.Client> {
  const client = new pg.Client({ host: '127.0.0.1', port, user: 'clinic', password: key, database: 'padron', options: token === undefined ? undefined : `-c cyclamenusher.session=${token}` })
  await client.connect()
  return client
}

async function until<Value> (what: string, attempt: () => Promise<Value>): Promise<Value> {
  const deadline = Date.now() + 15_000
  for (;;) {
    try {
      return await attempt()
    } catch (error) {
      if (Date.now() > deadline) throw new Error(`${what}: ${(error as Error).message}`)
      await new Promise(resolve => setTimeout(resolve, 100))
    }
  }
}

async function main (fleet: Fleet): Promise<void> {
  const secret = fleet.write('secret', 'a shared secret of the demo')
  const control = await startControl(fleet, secret)
  const entries = [
    await startEntry(fleet, 'entry-1', 'domain-a', secret, control),
    await startEntry(fleet, 'entry-2', 'domain-b', secret, control)
  ]
  const addresses = entries.map(({ calls }) => `127.0.0.1:${calls}`).join(',')
  const servers: FleetProcess[] = []
  for (const [index, domain] of ['domain-a', 'domain-b', 'domain-c'].entries()) {
    servers.push(fleet.start(`server-${index + 1}`, 'standIns', ['backend', '--group', 'padron-group', '--member', `padron-${index + 1}`, '--failure-domain', domain,
      '--port', String(await fleet.freePort()), '--administration-port', String(await fleet.freePort()), '--entries', addresses, '--secret-file', secret]))
  }
  const rules = fleet.write('rules.toml', [
    '[accounts]', 'clinic = { rate = 10000, burst = 10000 } # asked for by the demo',
    '[keys]', `clinic-1 = { account = "clinic", digest = "${digestOf('clinic-key')}" } # asked for by the demo`,
    '[databases]', 'padron = { group = "padron-group" } # asked for by the demo',
    '[access]', 'clinic-padron = { account = "clinic", database = "padron", write = true } # asked for by the demo'
  ].join('\n'))
  const applied = await fleet.run('operator', ['apply', rules, '--number', '1', '--control', `127.0.0.1:${control}`, '--secret-file', secret])
  console.log(applied.output.trim())
  const client = await until('first connection', async () => await connect(entries[0].callers, 'clinic-key'))
  let token = ''
  const { connection } = client as unknown as { connection: NodeJS.EventEmitter }
  connection.on('parameterStatus', (message: { parameterName: string, parameterValue: string }) => {
    if (message.parameterName === 'cyclamenusher.session') token = message.parameterValue
  })
  await until('first write', async () => await client.query("insert into visits (id, value) values ('a', 'first')"))
  console.log('write acknowledged', token)
  const second = await connect(entries[1].callers, 'clinic-key', token)
  const read = await second.query("select value from visits where id = 'a'")
  console.log('read through the other instance', read.rows)
  const begin = Date.now()
  await fleet.end(servers[0], 'SIGKILL')
  await until('write after the kill', async () => await client.query('update counters set value = value + 1 where id = $1', ['x']))
  console.log('a kill of server 1, then a write after', Date.now() - begin, 'ms')
  console.log((await second.query('select value from counters where id = $1', ['x'])).rows)
  await client.end()
  await second.end()
  if (process.env.SHOW_LOGS !== undefined) for (const { name, process: started } of entries) console.log(name, started.output())
}

const fleet = createFleet()
const stop = (): void => { void fleet.close().then(() => process.exit(130)) }
process.once('SIGINT', stop)
process.once('SIGTERM', stop)
main(fleet).then(async () => {
  await fleet.close()
  console.log(JSON.stringify({ ok: true }))
}, async (error: Error) => {
  if (process.env.SHOW_LOGS !== undefined) for (const text of fleet.outputs()) console.log(text)
  console.error(error)
  await fleet.close()
  process.exitCode = 1
})
