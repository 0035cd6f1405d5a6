import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runGroupHistory } from '../../model/groupModel.js'
import type { GroupMutation } from '../../model/groupModel.js'

/** Number of seeds that must pass here; `npm run prove` runs more. */
const SEEDS = 24
/** For each mutation, a seed with which the check detects it. */
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

test('no history violates a guarantee', async () => {
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { violations, acknowledged, promotions, reads } = await runGroupHistory({ seed })
    assert.equal(violations, [], `seed ${seed}`)
    assert.ok(acknowledged > 0 && promotions > 0 && reads > 0, `seed ${seed} lacks acknowledged writes, promotions or reads`)
  }
})

test('the same seed gives the same result', async () => {
  assert.equal(await runGroupHistory({ seed: 7 }), await runGroupHistory({ seed: 7 }))
})

for (const [mutation, seed] of Object.entries(DETECTING_SEEDS)) {
  test(`the check detects the mutation: ${mutation}`, async () => {
    const { violations } = await runGroupHistory({ seed, mutation: mutation as GroupMutation })
    assert.ok(violations.length > 0)
  })
}

test.run()
