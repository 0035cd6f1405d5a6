/** The control role: the replicated log, and the control service that uses it. */

import { ControlService } from '@cyclamenusher/protocol'
import { createControlService } from './controlService.js'
import { registerMandateService } from '../rate/mandateService.js'
import { openConsensusLog } from './consensusLog.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Clock } from '../clock.js'
import type { Config } from '../config.js'
import type { Logger } from '../logger.js'

export interface ControlRole {
  routes: (router: ConnectRouter) => void
  isReady: () => boolean
  close: () => Promise<void>
}

/** `requestStop` stops the instance as SIGTERM does. */
export function createControlRole (config: Config, clock: Clock, logger: Logger, requestStop: () => void): ControlRole {
  const service = createControlService(clock, logger.scope('control'))
  const { name, failureDomain, dataFolder = '.' } = config.instance
  const log = openConsensusLog({
    name,
    failureDomain,
    address: config.calls.advertise,
    addresses: () => config.control.addresses,
    dataFolder,
    stateMachine: service.stateMachine,
    credentials: { secret: config.calls.secret, tls: config.calls.tls },
    clock,
    logger: logger.scope('control'),
    onStopped: requestStop
  })
  service.attach(log)
  return {
    routes: router => {
      log.routes(router)
      registerMandateService(router, config.rates.mandateMilliseconds, clock)
      router.service(ControlService, {
        submit: service.submit,
        history: service.history,
        watch: service.watch,
        changeMember: service.changeMember,
        status: () => {
          const { role, term, leader, commitIndex, voters, members, candidates } = log.status()
          return {
            instance: name,
            role,
            term: BigInt(term),
            leader,
            commitIndex: BigInt(commitIndex),
            number: BigInt(service.number()),
            instances: service.instances(),
            voters,
            members: [...members],
            candidates: candidates.map(candidate => ({ ...candidate, role: '' }))
          }
        }
      })
    },
    isReady: () => log.status().leader !== '',
    close: log.close
  }
}
