/**
 * Schema of all messages between entries. Received messages are validated against it; invalid ones
 * are dropped and counted.
 */
import { z } from 'zod';
import { answerQuerySchema, answerReplySchema } from './AnswerMessages.js';
import { configPullSchema, configRecordsSchema } from './ConfigMessages.js';
import { creditDemandSchema, creditReceiptSchema, creditTransferSchema } from './CreditMessages.js';
import { heartbeatSchema } from './HeartbeatMessages.js';
import { workQuerySchema, workReplySchema } from './MaintenanceMessages.js';
import { statusQuerySchema, statusReplySchema } from './StatusMessages.js';
import {
  grantEndedAckSchema,
  grantEndedSchema,
  grantSchema,
  ticketRefusedSchema,
  ticketSchema,
  ticketsCancelledSchema,
  ticketsReturnedSchema,
} from './TicketMessages.js';
import {
  drainStatusSchema,
  grantsTakenSchema,
  targetsClosedSchema,
  teamUsageSchema,
  workReportSchema,
} from './WorkMessages.js';

export const peerMessageSchema = z.discriminatedUnion('kind', [
  heartbeatSchema,
  ticketSchema,
  ticketsCancelledSchema,
  ticketsReturnedSchema,
  grantSchema,
  ticketRefusedSchema,
  grantEndedSchema,
  grantEndedAckSchema,
  answerQuerySchema,
  answerReplySchema,
  configPullSchema,
  configRecordsSchema,
  creditDemandSchema,
  creditTransferSchema,
  creditReceiptSchema,
  workReportSchema,
  drainStatusSchema,
  grantsTakenSchema,
  targetsClosedSchema,
  teamUsageSchema,
  workQuerySchema,
  workReplySchema,
  statusQuerySchema,
  statusReplySchema,
]);

export type PeerMessage = z.infer<typeof peerMessageSchema>;
