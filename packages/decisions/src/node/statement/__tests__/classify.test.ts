import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { classify, loadParser } from '../classify.js'

const KINDS: Array<[text: string, kind: string]> = [
  ['select value from visits where id = $1', 'read'],
  ['select count(*) from visits', 'read'],
  ['select * from visits for update', 'write'],
  ['select nextval(\'s\')', 'write'],
  ['select my_function()', 'write'],
  ['with gone as (delete from visits returning *) select * from gone', 'write'],
  ['insert into visits (id) values (1)', 'write'],
  ['select * into temp copy from visits', 'unsupported'],
  ['create temp table t (a int)', 'unsupported'],
  ['select pg_advisory_lock(1)', 'unsupported'],
  ['copy visits from stdin', 'unsupported'],
  ['listen news', 'unsupported'],
  ['begin', 'begin'],
  ['begin read only', 'begin read only'],
  ['commit', 'commit'],
  ['commit and chain', 'unsupported'],
  ['prepare transaction \'x\'', 'unsupported'],
  ['set local statement_timeout = 10', 'local setting'],
  ['set statement_timeout = 10', 'setting'],
  ['set transaction isolation level serializable', 'local setting'],
  ['reset statement_timeout', 'reset'],
  ['reset all', 'reset'],
  ['show cyclamenusher.session', 'show session'],
  ['show timezone', 'read'],
  ['discard all', 'discard'],
  ['discard sequences', 'unsupported'],
  ['deallocate all', 'deallocate'],
  ['create temp view v as select 1', 'unsupported'],
  ['create temp sequence s', 'unsupported'],
  ['create table pg_temp.t (a int)', 'unsupported'],
  ['insert into visits select pg_advisory_lock(1)', 'unsupported'],
  ['declare c cursor with hold for select 1', 'unsupported'],
  ['prepare p as select 1', 'unsupported'],
  ['set session characteristics as transaction read only', 'unsupported'],
  ['', 'empty']
]

test.before(loadParser)

for (const [text, kind] of KINDS) {
  test(`kind of: ${text}`, () => { assert.is(classify(text).statements[0].kind, kind) })
}

test('each statement of a text is classified', () => {
  assert.equal(classify('select 1; delete from visits').statements.map(({ kind }) => kind), ['read', 'write'])
})

test('statements that may change the session are marked so', () => {
  const mayChangeSession = (text: string): boolean => classify(text).statements[0].mayChangeSession === true
  assert.ok(mayChangeSession('select my_function()'))
  assert.ok(mayChangeSession('do $$ begin set x.y = 1; end $$'))
  assert.ok(mayChangeSession('call my_procedure()'))
  assert.not(mayChangeSession('insert into visits (id) values (now())'))
})

test('a syntax error carries the parser\'s message', () => {
  assert.match(classify('selec 1').syntaxError ?? '', /syntax error/)
})

test.run()
