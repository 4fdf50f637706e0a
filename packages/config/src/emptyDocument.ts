/** The document of version 0, before the first patch. It defines no services. */
import { type ConfigDocument } from './ConfigDocument.js';

export const EMPTY_DOCUMENT: ConfigDocument = {
  schemaVersion: 1,
  deploymentName: 'unset',
  regionId: 'unset',
  zones: {},
  pools: {},
  instances: {},
  services: {},
  teams: {},
  policy: {
    weights: { bufferCost: 1, rollOutTime: 1, moves: 1, shareError: 1 },
    urgentStartMs: 5_600,
    urgentHeadroomRatio: 0.1,
    backgroundAgeingMs: 60_000,
    maintenancePeriodMs: 1_209_600_000,
    maxEjectedRatio: 0.5,
  },
};
