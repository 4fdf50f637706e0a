import { describe, it } from '@acaciadock/core/testing';
import { loadSettings, overridesFromEnvironment } from './loadSettings.js';

const COMPLETE = {
  schemaVersion: 1,
  entryId: 'e1',
  zoneId: 'zone-a',
  callerAddress: '127.0.0.1:8080',
  operatorAddress: '127.0.0.1:8081',
  peerAddress: '127.0.0.1:8082',
  platform: {
    logUrl: 'http://127.0.0.1:9001',
    directoryUrl: 'http://127.0.0.1:9002',
    controlUrl: 'http://127.0.0.1:9003',
  },
};

const { entryId, ...WITHOUT_ENTRY_ID } = COMPLETE;

const INVALID_FILES = [
  { name: 'a text that is not JSON', text: '{', pointers: [''] },
  { name: 'an array', text: '[]', pointers: [''] },
  {
    name: 'an unknown field',
    text: JSON.stringify({ ...COMPLETE, leaseSeconds: 3 }),
    pointers: ['/leaseSeconds'],
  },
  { name: 'a missing field', text: JSON.stringify(WITHOUT_ENTRY_ID), pointers: ['/entryId'] },
  {
    name: 'an unknown nested field and a wrong unit',
    text: JSON.stringify({ ...COMPLETE, tls: { reloadPeriodSeconds: 10, reloadPeriodMs: '10 s' } }),
    pointers: ['/tls/reloadPeriodMs', '/tls/reloadPeriodSeconds'],
  },
  {
    name: 'two faults at once',
    text: JSON.stringify({ ...COMPLETE, callerAddress: 'localhost', zoneId: '' }),
    pointers: ['/callerAddress', '/zoneId'],
  },
];

describe('loadSettings', () => {
  it('accepts a complete file and fills in defaults', (t) => {
    const loaded = loadSettings(JSON.stringify(COMPLETE));
    t.match(loaded.unwrapOr(undefined), { entryId, logLevel: 'info', peers: [] });
  });

  it('gives overrides precedence over the file', (t) => {
    const overrides = overridesFromEnvironment({ ACACIADOCK_ZONE_ID: 'zone-b', OTHER: 'x' });
    t.equal(
      loadSettings(JSON.stringify(COMPLETE), overrides).unwrapOr(undefined)?.zoneId,
      'zone-b',
    );
  });

  describe('reports every fault with its JSON pointer', () => {
    INVALID_FILES.forEach(({ name, text, pointers }) => {
      it(name, (t) => {
        const faults = loadSettings(text).match(
          () => [],
          (found) => found,
        );
        t.same([...new Set(faults.map(({ pointer }) => pointer))].sort(), pointers);
      });
    });
  });
});
