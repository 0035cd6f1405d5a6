/** The control role: the replicated log, and the service in front of it. */

import { ControlService } from '@cyclamenusher/protocol'
import { createControlService } from './controlService.js'
import { createLocalLog } from './localLog.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { Clock } from '../clock.js'
import type { Config } from '../config.js'
import type { Logger } from '../logger.js'

export interface ControlRole {
  routes: (router: ConnectRouter) => void
  isReady: () => boolean
  close: () => Promise<void>
}

export function createControlRole (config: Config, clock: Clock, logger: Logger): ControlRole {
  const service = createControlService(clock, logger.scope('control'))
  const log = createLocalLog(config.instance.name, config.instance.dataFolder ?? '.', service.machine)
  service.attach(log)
  return {
    routes: router => {
      router.service(ControlService, {
        submit: service.submit,
        history: service.history,
        watch: service.watch,
        status: () => {
          const { role, term, leader, commitIndex, voters } = log.status()
          return { instance: config.instance.name, role, term: BigInt(term), leader, commitIndex: BigInt(commitIndex), number: BigInt(service.number()), instances: service.instances(), voters }
        }
      })
    },
    isReady: () => true,
    close: log.close
  }
}
