import { startDeployment } from '@cyclamenusher/stand-ins'
import { createSession } from '../../playground/src/session.js'
const links = process.argv[2] === 'links'
const d = await startDeployment({ failureDomains:['a','b','c'], entries: 8, controls:1, databases:['p','q'], members:3, accounts:[{name:'x',key:'kkkkkkkk',rate:10000,burst:10000}], connectionLimit:25, openMilliseconds:10, lagMilliseconds:5, links, settings: { backend: ['connections_per_server = 25'] } })
await new Promise(r=>setTimeout(r,2000))
const s = createSession({ports:d.entries.map(e=>e.callers), account:'x', key:'kkkkkkkk', database:'p'})
const t: Record<string, number[]> = {c:[],w:[],m:[],r:[],r2:[], w2: []}
async function time(k: string, f: ()=>Promise<unknown>) { const a=performance.now(); await f(); t[k].push(performance.now()-a) }
for (let i=0;i<200;i++) {
  await time('c', ()=>s.query('select 1'))
  await time('w', ()=>s.query('insert into t (id, value) values ($1,$2)', ['k'+i,'v']))
  await time('w2', ()=>s.query('insert into t (id, value) values ($1,$2)', ['l'+i,'v']))
  await s.roam()
  await time('m', ()=>s.query('select value from t where id = $1', ['k'+i]))
  await time('r2', ()=>s.query('select value from t where id = $1', ['k'+i]))
}
for (const [k,v] of Object.entries(t)) { v.sort((a,b)=>a-b); if (v.length) console.log(k, 'p50', v[Math.floor(v.length/2)].toFixed(2), 'p90', v[Math.floor(v.length*0.9)].toFixed(2), 'max', v[v.length-1].toFixed(1)) }
await s.close(); await d.close(); process.exit(0)
