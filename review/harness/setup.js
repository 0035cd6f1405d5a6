/** Starts a deployment with one service, and waits until it serves. */

import { createService } from './databases.js'
import { createDeployment } from './processes.js'
import { awaitReady, buildManifest, declareManifest, startProvider } from './platform.js'

const PROVIDER_HOST = 50

export async function startSystem ({ record, onEnd, entries = 3, providerOf, synchronousReplicas = 0, workMilliseconds, onRun, limits = {} }) {
  const addressOfProvider = prefix => `${prefix}.${PROVIDER_HOST}`
  const deployment = await createDeployment({ record, entries, providerOf: providerOf ?? ((machine, prefix) => `${addressOfProvider(prefix)}:8466`) })
  onEnd(deployment.close)
  const service = createService({ name: 'service-1', deployment, record, synchronousReplicas, workMilliseconds, onRun })
  onEnd(service.close)
  const provider = await startProvider({ host: addressOfProvider(deployment.prefix), port: deployment.ports.provider, service, record })
  onEnd(provider.close)
  deployment.startAll()
  await Promise.all([
    service.startAll(),
    declareManifest(deployment, buildManifest({ version: 1, service: service.name, synchronousReplicas, ...limits })).then(async () => { await awaitReady(deployment) })
  ])
  record('the deployment serves')
  return { deployment, service, provider }
}
