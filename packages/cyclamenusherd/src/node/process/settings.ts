/** Fields of the settings of an instance: permitted values, default and description. */

import { ADDRESS_PATTERN, ADDRESS_SHAPE, isAddress } from './address.js'
import type { Field } from '@cyclamenusher/decisions'

/** Form of the names of instances and failure domains. */
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$/
const NAME_SHAPE = 'a name of letters, digits, ".", "_" and "-"'

function addressField (description: string, defaultValue?: string): Field {
  return { kind: 'text', pattern: ADDRESS_PATTERN, accepts: isAddress, shape: ADDRESS_SHAPE, description, default: defaultValue }
}

function millisecondsField (description: string, defaultValue: number, minimum: number, maximum: number): Field {
  return { kind: 'number', minimum, maximum, unit: 'milliseconds', default: defaultValue, description }
}

/** Every setting by table; `npm run settings-page` writes them to docs/OPERATORS.md. */
export const SETTINGS: Record<string, Record<string, Field>> = {
  instance: {
    name: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'name of the instance, unique among all instances' },
    failure_domain: { kind: 'text', pattern: NAME_PATTERN, shape: NAME_SHAPE, description: 'failure domain that the instance is in' },
    roles: { kind: 'list', choices: ['entry', 'control'], default: ['entry'], description: 'roles of the instance' },
    data_folder: { kind: 'text', optional: true, description: 'folder for durable state; required for a control instance' }
  },
  callers: {
    listen: addressField('address for callers', '127.0.0.1:6432'),
    clear_text_keys: { kind: 'flag', default: false, description: 'accept keys without TLS, on loopback only' },
    tls_certificate: { kind: 'text', optional: true, description: 'file of the certificate in PEM form' },
    tls_key: { kind: 'text', optional: true, description: 'file of its private key' },
    maximum_connections: { kind: 'number', minimum: 1, maximum: 100_000, unit: 'connections', default: 5000, description: 'connections of callers at the same time' },
    maximum_message_bytes: { kind: 'number', minimum: 1024, maximum: 1_073_741_824, unit: 'bytes', default: 16_777_216, description: 'longest message of a caller' },
    maximum_input_bytes: { kind: 'number', minimum: 1_048_576, maximum: 17_179_869_184, unit: 'bytes', default: 33_554_432, description: 'memory for incomplete requests and prepared statements of all callers together; a quarter of it for the latter' },
    maximum_session_bytes: { kind: 'number', minimum: 1024, maximum: 1_073_741_824, unit: 'bytes', default: 4_194_304, description: 'memory for the prepared statements of one caller' },
    request_milliseconds: millisecondsField('time limit for a request', 30_000, 100, 3_600_000),
    handshake_milliseconds: millisecondsField('time limit for a caller\'s handshake, until its key is accepted', 10_000, 100, 60_000),
    handshake_grace_milliseconds: millisecondsField('age from which a connection without a complete handshake is closed for a further one, once callers.maximum_connections are open', 1_000, 0, 60_000),
    message_milliseconds: millisecondsField('time within which a message must be complete once its first byte has come', 30_000, 100, 3_600_000),
    unread_answer_milliseconds: millisecondsField('time after which a caller is disconnected that reads nothing of an answer', 10_000, 100, 3_600_000),
    idle_transaction_milliseconds: millisecondsField('time that a transaction may stay idle between requests', 60_000, 100, 3_600_000)
  },
  calls: {
    listen: addressField('address for other instances, announcers and operators', '127.0.0.1:7432'),
    advertise: { ...addressField('address at which other instances reach this one (default: calls.listen)'), optional: true },
    secret_file: { kind: 'text', description: 'file with the secret that all instances and announcers share' },
    maximum_unauthenticated: { kind: 'number', minimum: 1, maximum: 100_000, unit: 'connections', default: 1024, description: 'connections that no authenticated call has come on; the oldest is closed for a further one' },
    tls_certificate: { kind: 'text', optional: true, description: 'certificate for mutual TLS' },
    tls_key: { kind: 'text', optional: true, description: 'its private key' },
    tls_authority: { kind: 'text', optional: true, description: 'certificate of the authority that signed those of the other instances' }
  },
  control: {
    addresses: { kind: 'list', pattern: ADDRESS_PATTERN, accepts: isAddress, shape: ADDRESS_SHAPE, description: 'addresses of the control instances' },
    relay_above: { kind: 'number', minimum: 1, maximum: 100_000, unit: 'entry instances', default: 16, description: 'entry instances of a failure domain above which two of them relay rules to the others' },
    lease_milliseconds: millisecondsField('how long rules count as fresh after control last confirmed them', 3_000, 1_000, 60_000),
    domain_address: { kind: 'text', pattern: ADDRESS_PATTERN, accepts: isAddress, shape: ADDRESS_SHAPE, optional: true, description: 'control instance of this failure domain, the same for all its instances: open routes keep their share while the domain is cut off' }
  },
  backend: {
    user: { kind: 'text', default: 'cyclamenusher', description: 'user for requests at backend servers' },
    monitor_user: { kind: 'text', default: 'cyclamenusher_monitor', description: 'user for the reserved connections that monitor backend servers' },
    password_file: { kind: 'text', description: 'file with the password of both users' },
    connections_per_server: { kind: 'number', minimum: 1, maximum: 1000, unit: 'connections', default: 25, description: 'connections of all entry instances together to one backend server' },
    connections_of_instance: { kind: 'number', minimum: 1, maximum: 1000, unit: 'connections', optional: true, description: 'connections of this instance to one backend server; an even share of connections_per_server if not set' },
    wait_milliseconds: millisecondsField('time that a request may wait for a connection', 2_000, 10, 60_000),
    acknowledge_milliseconds: millisecondsField('time that a commit may wait for a majority', 5_000, 100, 60_000)
  },
  failover: {
    silence_milliseconds: millisecondsField('time without contact with a primary after which it counts as failed', 500, 200, 10_000)
  },
  rates: {
    wait_milliseconds: millisecondsField('time that a request may wait for a token', 80, 0, 1_000),
    mandate_milliseconds: millisecondsField('how long an instance may lend tokens without a renewal by control; must be the same on all instances', 1_500, 1_000, 30_000)
  },
  metrics: {
    listen: addressField('address of the metrics and health pages', '127.0.0.1:9432'),
    maximum_connections: { kind: 'number', minimum: 1, maximum: 100_000, unit: 'connections', default: 128, description: 'connections to these pages at the same time' },
    request_milliseconds: millisecondsField('time within which a request for these pages must be complete, and its answer read', 30_000, 100, 600_000)
  },
  log: {
    level: { kind: 'choice', choices: ['error', 'warn', 'info', 'debug'], default: 'info', description: 'least severe level that is logged' },
    format: { kind: 'choice', choices: ['lines', 'json'], default: 'lines', description: 'readable lines, or JSON' },
    decisions: { kind: 'flag', default: true, description: 'log a line for each routing decision' }
  },
  shutdown: {
    grace_milliseconds: millisecondsField('time in which callers are still accepted after SIGTERM', 1_000, 0, 60_000),
    drain_milliseconds: millisecondsField('time after which a shutdown ends running requests', 20_000, 0, 3_600_000)
  }
}
