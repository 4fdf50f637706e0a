/** Translates job actions into patch operations on one version of the configuration document. */
import { type InstanceId } from '@acaciadock/core';
import { type ConfigDocument, type InstanceIntent, type PatchOperation } from '@acaciadock/config';
import { type JobAction } from './JobDecider.js';

function pointer(instanceId: InstanceId, field: string): string {
  return `/instances/${instanceId.replaceAll('~', '~0').replaceAll('/', '~1')}/${field}`;
}

function setIntent(instanceId: InstanceId, value: InstanceIntent): PatchOperation {
  return { op: 'replace', path: pointer(instanceId, 'intent'), value };
}

/** Empty if the action needs no patch or an operator has set a different intent. */
export function patchFor(
  document: ConfigDocument,
  instanceId: InstanceId,
  action: JobAction,
): readonly PatchOperation[] {
  const instance = document.instances[instanceId];
  if (!instance) return [];
  if (action.kind === 'close' && instance.intent === 'serving') {
    return [setIntent(instanceId, 'maintenance')];
  }
  if (action.kind === 'reopen' && instance.intent === 'maintenance') {
    return [setIntent(instanceId, 'serving')];
  }
  if (action.kind !== 'change-pool') return [];
  const change: PatchOperation = {
    op: 'replace',
    path: pointer(instanceId, 'poolId'),
    value: action.toPoolId,
  };
  if (instance.intent !== 'maintenance') return [change];
  return [change, setIntent(instanceId, 'serving')];
}
