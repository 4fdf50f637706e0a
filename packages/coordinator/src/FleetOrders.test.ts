/** Orders to instances: one at a time per instance, each journaled before it is sent. */
import { ManualClock, Random, SilentLogger } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { ok, type Result } from 'neverthrow';
import { type FleetFailure, type FleetInstance, InstanceFleet } from './contracts/index.js';
import { DUTY_KEY, type DutyRecord, FleetOrders } from './FleetOrders.js';
import { Ownership } from './Ownership.js';
import { TargetTable } from './TargetTable.js';
import { withoutEvacuation } from './testing/withoutEvacuation.js';
import { PausableClock } from './testing/PausableClock.js';
import { SimulatedLog } from './testing/SimulatedLog.js';
import { SimulatedStore } from './testing/SimulatedStore.js';

const ORDER_SEPARATION_MS = 3_000;

const OWNER_RECORD = { entryId: 'e0', bootMs: 1, peerAddress: 'e0:1', formerMayExtend: false };

const INSTANCE: FleetInstance = {
  instanceId: 'm0',
  poolId: 'p',
  state: 'up',
  zoneId: 'z',
  rackId: 'r',
  labels: [],
  capacity: { cpuMilli: 16_000, memoryMb: 32_000, gpuCount: 0 },
  targetId: '',
};

class RecordingFleet extends InstanceFleet {
  readonly orders: string[] = [];

  override list(): Promise<Result<readonly FleetInstance[], FleetFailure>> {
    return Promise.resolve(ok([INSTANCE]));
  }

  override move(instanceId: string, poolId: string): Promise<Result<void, FleetFailure>> {
    this.orders.push(`move ${instanceId} to ${poolId}`);
    return Promise.resolve(ok(undefined));
  }

  override upkeep(instanceId: string): Promise<Result<void, FleetFailure>> {
    this.orders.push(`upkeep ${instanceId}`);
    return Promise.resolve(ok(undefined));
  }
}

interface Fixture {
  readonly base: ManualClock;
  readonly store: SimulatedStore;
  readonly fleet: RecordingFleet;
  readonly orders: FleetOrders;
  readonly settle: () => Promise<void>;
}

async function createFixture(): Promise<Fixture> {
  const base = new ManualClock();
  const clock = new PausableClock(base);
  const store = new SimulatedStore(base, new Random(1));
  const faults = { isDown: false, lostAnswerShare: 0, latencyMs: 0 };
  const owned = { epoch: 0, nextOffset: 0, records: [] };
  const log = new SimulatedLog(store, clock, faults);
  const ownership = new Ownership(log, owned, OWNER_RECORD, clock);
  const evacuation = withoutEvacuation(clock);
  const targets = new TargetTable({ maxLeaseMs: 6_000, inheritedUntilMs: 0, evacuation });
  const fleet = new RecordingFleet();
  const options = {
    holderId: 'e0',
    bootMs: 1,
    hasProcessExited: () => false,
    orderSeparationMs: ORDER_SEPARATION_MS,
    ordersPerS: 64,
    upkeepMs: 2_000,
  };
  const logger = new SilentLogger();
  const orders = new FleetOrders(options, { fleet, targets, ownership, clock, logger });
  await orders.refresh();
  const settle = async (): Promise<void> => {
    for (let step = 0; step < 20; step += 1) {
      base.advance(5);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  return { base, store, fleet, orders, settle };
}

describe('FleetOrders', () => {
  describe('when a move follows an upkeep of the same instance', () => {
    it('refuses the move, so the instance stays counted as down', async (t) => {
      // Fails if a later order replaces the pending one.
      const { fleet, orders, settle } = await createFixture();
      const upkeep = orders.upkeep(INSTANCE, 1);
      const move = orders.move(INSTANCE, 'other');
      await settle();
      t.same(await Promise.all([upkeep, move]), ['accepted', 'busy']);
      t.same(fleet.orders, ['upkeep m0']);
      t.ok(orders.mayBeInUpkeep('m0'));
    });
  });

  describe('when a previous holder has sent orders recently', () => {
    it('refuses orders to its instances and sends orders to the others at once', async (t) => {
      // Fails if a new holder delays orders to all instances.
      const { base, fleet, orders, settle } = await createFixture();
      orders.restoreDuty({ holderId: 'e1', bootMs: 1, orders: [{ instanceId: 'm1', agoMs: 0 }] });
      const other = { ...INSTANCE, instanceId: 'm1' };
      t.equal(await orders.move(other, 'x'), 'busy');
      t.ok(orders.mayBeInUpkeep('m1'), 'the order of the previous holder may be an upkeep');
      const move = orders.move(INSTANCE, 'x');
      await settle();
      t.equal(await move, 'accepted');
      base.advance(ORDER_SEPARATION_MS);
      t.ok(
        orders.isBlocked('m1'),
        'blocked until the order separation time and its margin have passed',
      );
      base.advance(1_000);
      const late = orders.move(other, 'x');
      await settle();
      t.equal(await late, 'accepted');
      t.same(fleet.orders, ['move m0 to x', 'move m1 to x']);
    });

    it('subtracts the age that an order had when it was journaled', async (t) => {
      const { base, orders } = await createFixture();
      orders.restoreDuty({
        holderId: 'e1',
        bootMs: 1,
        orders: [{ instanceId: 'm0', agoMs: ORDER_SEPARATION_MS }],
      });
      t.ok(orders.isBlocked('m0'));
      base.advance(600);
      t.notOk(orders.isBlocked('m0'));
    });

    it('does not wait for a holder whose process has exited', async (t) => {
      const { orders } = await createFixture();
      orders.restoreDuty({ holderId: 'e0', bootMs: 0, orders: [{ instanceId: 'm0', agoMs: 0 }] });
      t.notOk(orders.isBlocked('m0'));
    });

    it('journals inherited orders for its own successor', async (t) => {
      const { orders, settle, store } = await createFixture();
      orders.restoreDuty({ holderId: 'e1', bootMs: 1, orders: [{ instanceId: 'm1', agoMs: 0 }] });
      const move = orders.move(INSTANCE, 'x');
      await settle();
      await move;
      const [record] = store.newest().records.filter(({ key }) => key === DUTY_KEY);
      const duty = JSON.parse(String(record?.value)) as DutyRecord;
      t.same(duty.orders.map(({ instanceId }) => instanceId).sort(), ['m0', 'm1']);
      t.ok(duty.orders.every(({ agoMs }) => agoMs >= 0 && agoMs < 200));
    });
  });

  describe('when an upkeep follows a move of the same instance', () => {
    it('refuses the upkeep', async (t) => {
      const { fleet, orders, settle } = await createFixture();
      const move = orders.move(INSTANCE, 'other');
      const upkeep = orders.upkeep(INSTANCE, 1);
      await settle();
      t.same(await Promise.all([move, upkeep]), ['accepted', 'busy']);
      t.same(fleet.orders, ['move m0 to other']);
      t.equal(orders.poolAfterOrders(INSTANCE), 'other');
    });
  });
});
