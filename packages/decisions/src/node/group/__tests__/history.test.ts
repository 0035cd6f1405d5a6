import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runGroupHistory } from '../../model/groupModel.js'
import type { GroupMutation } from '../../model/groupModel.js'

/** Seeds that the whole product must pass here; `npm run prove` runs more. */
const SEEDS = 24
/** A seed with which each guard, taken out, is missed. */
const DETECTING_SEEDS: Record<GroupMutation, number> = {
  'trusts the primary': 5,
  'promotes any log': 6,
  'minority promotes': 6,
  'confirms without a majority': 1,
  'ignores the token': 1,
  'keeps the token after an unknown outcome': 2,
  'empty disk votes': 28,
  'grants a term twice': 4,
  'counts holders of any term': 106,
  'reads at any incarnation': 2,
  'takes the log for what reads show': 13
}

test('every history holds', async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { violations, acknowledged, promotions, reads } = await runGroupHistory({ seed })
    assert.equal(violations, [], `seed ${seed}`)
    assert.ok(acknowledged > 0 && promotions > 0 && reads > 0, `seed ${seed} did nothing`)
  }
})

test('a seed replays exactly', async () => {
  assert.equal(await runGroupHistory({ seed: 7 }), await runGroupHistory({ seed: 7 }))
})

for (const [mutation, seed] of Object.entries(DETECTING_SEEDS)) {
  test(`the check finds what ${mutation}`, async () => {
    const { violations } = await runGroupHistory({ seed, mutation: mutation as GroupMutation })
    assert.ok(violations.length > 0)
  })
}

test.run()
