/** Reads and writes the compact form of the messages between an instance that serves callers and a holder: `OperationRequest` and `OperationReply` of the protocol. */

import { OperationReadPolicy, OperationReplyKind, OperationReplySchema, OperationRequestKind, OperationRequestSchema, createFlatCodec } from '@cyclamenusher/protocol'
import type { LogPosition, ReadPolicy } from '@cyclamenusher/decisions'
import type { FlatContent } from '@cyclamenusher/protocol'
import type { Fields } from '../../process/messageFields.js'
import type { Admission, AdmittedOperation } from '../session.js'
import type { ForwardedStatement, HolderReply, HolderRequest } from './messages.js'

type OperationRequest = FlatContent<typeof OperationRequestSchema>
type OperationReply = FlatContent<typeof OperationReplySchema>
type RequestContent = Partial<OperationRequest>
type ReplyContent = Partial<OperationReply>
const REQUEST_CODEC = createFlatCodec(OperationRequestSchema)
const REPLY_CODEC = createFlatCodec(OperationReplySchema)

const TENTHS = 10

const READ_POLICIES: Record<ReadPolicy, OperationReadPolicy> = { primary: OperationReadPolicy.PRIMARY, 'bounded staleness': OperationReadPolicy.BOUNDED_STALENESS, 'read your writes': OperationReadPolicy.READ_YOUR_WRITES }
const READ_POLICY_NAMES = new Map(Object.entries(READ_POLICIES).map(([name, policy]) => [policy, name]))

/** A field's content that the format's varints can't carry. */
class NotCompactError extends Error {
  override name = 'NotCompactError'
}

/** @throws NotCompactError */
function writeNumber (value: number): number {
  if (!Number.isSafeInteger(value) || value < 0) throw new NotCompactError(`${value} is no natural number`)
  return value
}

/** @throws NotCompactError */
function writeOptionalNumber (value: number | undefined): number | undefined {
  return value === undefined ? undefined : writeNumber(value)
}

/** Times are rounded to a tenth of a millisecond before they are sent in either format. @throws NotCompactError */
function writeTime (milliseconds: number): number {
  return writeNumber(Math.round(milliseconds * TENTHS))
}

/** @throws NotCompactError */
function writeOptionalTime (milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : writeTime(milliseconds)
}

function readTime (tenths: number): number {
  return tenths / TENTHS
}

function readOptionalTime (tenths: number | undefined): number | undefined {
  return tenths === undefined ? undefined : readTime(tenths)
}

/** The fields that have a value; undefined if none has, so that a part of a message is missing or is checked as a whole. */
function readPart (fields: Fields): Fields | undefined {
  const known = Object.entries(fields).filter(([, value]) => value !== undefined)
  return known.length === 0 ? undefined : Object.fromEntries(known)
}

function writeStatement ({ id, text, execution, values, lastCommit, sentAt, epoch, elapsedMilliseconds, remainingMilliseconds }: ForwardedStatement): RequestContent {
  return {
    id,
    text: execution === undefined ? text : undefined,
    parameters: execution?.parameters,
    definitionText: execution?.definition.text,
    definitionIsWrite: execution?.definition.access === 'write',
    values: values.flat(),
    commitTerm: writeOptionalNumber(lastCommit?.position.term),
    commitPosition: writeOptionalNumber(lastCommit?.position.position),
    commitAge: writeOptionalTime(lastCommit?.agoMilliseconds),
    sentAt: writeTime(sentAt),
    epoch: writeTime(epoch),
    elapsed: writeTime(elapsedMilliseconds),
    remaining: writeTime(remainingMilliseconds)
  }
}

function writeAdmission (admission: Admission | undefined): RequestContent {
  return {
    admissionVersion: writeOptionalNumber(admission?.version),
    admissionDatabase: admission?.database,
    admissionKeyDigest: admission?.keyDigest
  }
}

function writeOperation ({ account, route, allowedRegions, admission }: AdmittedOperation): RequestContent {
  return {
    account,
    limitsRegions: allowedRegions !== undefined,
    allowedRegions,
    group: route.group,
    readPolicy: READ_POLICIES[route.readPolicy],
    maximumStaleness: writeOptionalNumber(route.maximumStalenessMilliseconds),
    objective: writeOptionalNumber(route.objectiveMilliseconds),
    priority: writeNumber(route.priority),
    ...writeAdmission(admission)
  }
}

type RequestWriters = { [Kind in HolderRequest['kind']]: (request: Extract<HolderRequest, { kind: Kind }>) => RequestContent }
const REQUEST_WRITERS: RequestWriters = {
  run: ({ number, access, operation, statement }) => ({ kind: OperationRequestKind.RUN, number: writeNumber(number), isWrite: access === 'write', ...writeOperation(operation), ...writeStatement(statement) }),
  // The text and the execution of a begin are those of the statement that follows it; the holder needs neither.
  begin: ({ transaction, readOnly, operation, statement }) => ({ kind: OperationRequestKind.BEGIN, transaction: writeNumber(transaction), readOnly, ...writeOperation(operation), ...writeStatement({ ...statement, execution: undefined }), text: undefined }),
  continue: ({ number, transaction, isWrite, statement, admission }) => ({ kind: OperationRequestKind.CONTINUE, number: writeNumber(number), transaction: writeNumber(transaction), isWrite, ...writeStatement(statement), ...writeAdmission(admission) }),
  commit: ({ number, transaction, statement, admission }) => ({ kind: OperationRequestKind.COMMIT, number: writeNumber(number), transaction: writeNumber(transaction), ...writeStatement(statement), ...writeAdmission(admission) }),
  'roll back': ({ transaction, id }) => ({ kind: OperationRequestKind.ROLL_BACK, transaction: writeNumber(transaction), id }),
  probe: ({ stream, replaces }) => ({ kind: OperationRequestKind.PROBE, stream, replaces })
}

function readPosition (term: number | undefined, position: number | undefined): Fields | undefined {
  return readPart({ term, position })
}

function readExecution ({ parameters, definitionText, definitionIsWrite }: OperationRequest): Fields | undefined {
  if (parameters === undefined && definitionText === undefined) return undefined
  return { parameters, definition: { access: definitionIsWrite ? 'write' : 'read', text: definitionText } }
}

function readCommit (term: number | undefined, position: number | undefined, age: number | undefined): Fields | undefined {
  return readPart({ position: readPosition(term, position), agoMilliseconds: readOptionalTime(age) })
}

function pairValues (values: readonly string[]): string[][] {
  return Array.from({ length: Math.ceil(values.length / 2) }, (_value, index) => values.slice(index * 2, index * 2 + 2))
}

function readStatement (message: OperationRequest, isTextNeeded: boolean): Fields {
  const execution = readExecution(message)
  const lastCommit = readCommit(message.commitTerm, message.commitPosition, message.commitAge)
  return {
    id: message.id,
    text: isTextNeeded && execution === undefined ? message.text : '',
    ...(execution === undefined ? {} : { execution }),
    values: pairValues(message.values),
    ...(lastCommit === undefined ? {} : { lastCommit }),
    sentAt: readOptionalTime(message.sentAt),
    epoch: readTime(message.epoch),
    elapsedMilliseconds: readTime(message.elapsed),
    remainingMilliseconds: readOptionalTime(message.remaining)
  }
}

/** The field with by what a request was admitted, if it has one. */
function readAdmission ({ admissionVersion, admissionDatabase, admissionKeyDigest }: OperationRequest): Fields {
  return readPart({ admission: readPart({ version: admissionVersion, database: admissionDatabase, keyDigest: admissionKeyDigest }) }) ?? {}
}

function readOperation (message: OperationRequest): Fields {
  const { account, group, readPolicy, maximumStaleness, objective, priority, limitsRegions, allowedRegions } = message
  return {
    route: {
      group,
      readPolicy: READ_POLICY_NAMES.get(readPolicy),
      ...readPart({ maximumStalenessMilliseconds: maximumStaleness, objectiveMilliseconds: objective }),
      priority
    },
    account,
    ...(limitsRegions ? { allowedRegions } : {}),
    ...readAdmission(message)
  }
}

type MessageReader<Message> = (message: Message) => Fields
const REQUEST_READERS = new Map<OperationRequestKind, MessageReader<OperationRequest>>([
  [OperationRequestKind.RUN, message => ({ kind: 'run', number: message.number, access: message.isWrite ? 'write' : 'read', operation: readOperation(message), statement: readStatement(message, true) })],
  [OperationRequestKind.BEGIN, message => ({ kind: 'begin', transaction: message.transaction, readOnly: message.readOnly, operation: readOperation(message), statement: readStatement(message, false) })],
  [OperationRequestKind.CONTINUE, message => ({ kind: 'continue', number: message.number, transaction: message.transaction, isWrite: message.isWrite, statement: readStatement(message, true), ...readAdmission(message) })],
  [OperationRequestKind.COMMIT, message => ({ kind: 'commit', number: message.number, transaction: message.transaction, statement: readStatement(message, true), ...readAdmission(message) })],
  [OperationRequestKind.ROLL_BACK, ({ transaction, id }) => ({ kind: 'roll back', ...readPart({ transaction, id }) })],
  [OperationRequestKind.PROBE, ({ stream, replaces }) => ({ kind: 'probe', ...readPart({ stream, replaces }) })]
])

function writeResult ({ number, rows, digest, position, timing, lastCommit, primary, version }: Extract<HolderReply, { kind: 'result' }>): ReplyContent {
  const isOtherPosition = lastCommit !== undefined && !isSamePosition(lastCommit.position, position)
  return {
    kind: OperationReplyKind.RESULT,
    number: writeNumber(number),
    rows: [...rows],
    digest,
    positionTerm: writeOptionalNumber(position?.term),
    position: writeOptionalNumber(position?.position),
    acquisition: writeOptionalTime(timing.acquisition),
    atHolder: writeOptionalTime(timing.atHolder),
    version: writeOptionalNumber(version),
    primaryMember: primary?.member,
    primaryDesignation: writeOptionalNumber(primary?.designation),
    commitTerm: isOtherPosition ? writeNumber(lastCommit.position.term) : undefined,
    commitPosition: isOtherPosition ? writeNumber(lastCommit.position.position) : undefined,
    commitAge: writeOptionalTime(lastCommit?.agoMilliseconds)
  }
}

function isSamePosition (left: LogPosition, right: LogPosition | undefined): boolean {
  return left.term === right?.term && left.position === right.position
}

type ReplyWriters = { [Kind in HolderReply['kind']]: (reply: Extract<HolderReply, { kind: Kind }>) => ReplyContent }
const REPLY_WRITERS: ReplyWriters = {
  result: writeResult,
  failure: ({ number, failure, explanation, canServe, version }) => ({ kind: OperationReplyKind.FAILURE, number: writeNumber(number), failure, explanation, cannotServe: !canServe, version: writeOptionalNumber(version) }),
  // The other end, which reads this format, knows which ones the holder reads.
  alive: () => ({ kind: OperationReplyKind.ALIVE }),
  leaving: () => ({ kind: OperationReplyKind.LEAVING })
}

function readResult (message: OperationReply): Fields {
  const { rows, digest, primaryMember, primaryDesignation, commitAge } = message
  const position = readPosition(message.positionTerm, message.position)
  const commitPosition = readPosition(message.commitTerm, message.commitPosition)
  return {
    kind: 'result',
    number: message.number,
    rows,
    digest,
    timing: readPart({ acquisition: readOptionalTime(message.acquisition), atHolder: readOptionalTime(message.atHolder) }) ?? {},
    ...readPart({
      position,
      version: message.version,
      primary: readPart({ member: primaryMember, designation: primaryDesignation }),
      lastCommit: commitPosition === undefined && commitAge === undefined ? undefined : { position: commitPosition ?? position, agoMilliseconds: readOptionalTime(commitAge) }
    })
  }
}

const REPLY_READERS = new Map<OperationReplyKind, MessageReader<OperationReply>>([
  [OperationReplyKind.RESULT, readResult],
  [OperationReplyKind.FAILURE, ({ number, failure, explanation, cannotServe, version }) => ({ kind: 'failure', number, failure, explanation, canServe: !cannotServe, ...readPart({ version }) })],
  [OperationReplyKind.ALIVE, () => ({ kind: 'alive' })],
  [OperationReplyKind.LEAVING, () => ({ kind: 'leaving' })]
])

/** Calls the writer; undefined if the format can't carry a number of the message. */
function writeIfPossible (write: () => Uint8Array): Uint8Array | undefined {
  try {
    return write()
  } catch (error) {
    if (error instanceof NotCompactError) return undefined
    throw error
  }
}

/** The compact form of the request; undefined if it has none. */
export function writeCompactRequest (request: HolderRequest): Uint8Array | undefined {
  const write = REQUEST_WRITERS[request.kind] as (request: HolderRequest) => RequestContent
  return writeIfPossible(() => REQUEST_CODEC.write(write(request)))
}

/** The compact form of the reply; undefined if it has none. */
export function writeCompactReply (reply: HolderReply): Uint8Array | undefined {
  const write = REPLY_WRITERS[reply.kind] as (reply: HolderReply) => ReplyContent
  return writeIfPossible(() => REPLY_CODEC.write(write(reply)))
}

/** Reads the fields of a request, which are still to be checked; undefined if its kind is not known. @throws Error */
export function readCompactRequest (body: Buffer): Fields | undefined {
  const message = REQUEST_CODEC.read(body)
  return REQUEST_READERS.get(message.kind)?.(message)
}

/** Reads the fields of a reply, which are still to be checked; undefined if its kind is not known. @throws Error */
export function readCompactReply (body: Buffer): Fields | undefined {
  const message = REPLY_CODEC.read(body)
  return REPLY_READERS.get(message.kind)?.(message)
}
