/** Measures peer links: encoding, decoding and schema checks of batches of tickets. */
import { MessageCodec, type Ticket } from '@acaciadock/peers';
import { heapBytes, type RoleCost, RoleProbe, meanCpuUs } from './RoleProbe.js';

const ROUNDS = 300;

function ticket(index: number): Ticket {
  return {
    kind: 'ticket',
    ticketId: `0c9a1f0e-aaaa-bbbb-cccc-${String(index).padStart(12, '0')}:1`,
    serviceId: 'service-1',
    teamId: `team-${index}`,
    urgency: 'urgent',
    acceptedAtMs: 1_800_000_000_000,
    deadlineAtMs: 1_800_000_010_000,
    idempotent: true,
    attempt: 1,
    avoidTargetIds: [],
    avoidRackIds: [],
  };
}

export class LinkProbe extends RoleProbe {
  override readonly role = 'peer links';

  override readonly sizeUnit = 'message in a batch';

  override readonly operation = 'encode, decode and check one batch';

  override readonly sizes = [1, 16, 64, 256];

  override readonly statedSize = 64;

  override measure(size: number): RoleCost {
    const messages = Array.from({ length: size }, (_, index) => ticket(index));
    const before = heapBytes();
    const bytes = MessageCodec.encode('e1', messages);
    const heap = heapBytes() - before;
    const operationUs = meanCpuUs(ROUNDS, () => {
      const decoded = MessageCodec.decode(MessageCodec.encode('e1', messages));
      if (decoded.isErr() || decoded.value.rejected > 0)
        throw new RangeError('a message was not decoded');
    });
    // A buffer may keep its bytes outside the heap, so at least the size on the wire is reported.
    return { heapBytes: Math.max(heap, bytes.length), operationUs };
  }
}
