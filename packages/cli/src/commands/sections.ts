/** `acaciadock team|pool|service`: registers the commands of each section of the configuration. */
import { type Command } from 'commander';
import { type CommandContext } from '../CommandContext.js';
import { registerSection } from './registerSection.js';

export function registerSections(program: Command, context: CommandContext): void {
  registerSection(program, context, {
    name: 'team',
    section: 'teams',
    description: 'teams, their shares and limits',
    columns: ['share', 'limit', 'keys', 'name'],
    row: (team) => [team.share, team.limit, Object.keys(team.keys).length, team.displayName],
    defaults: { share: 1 },
    example: 'team create bench-desk share=3 limit=40',
  });
  registerSection(program, context, {
    name: 'pool',
    section: 'pools',
    description: 'pools of instances',
    columns: ['role', 'description'],
    row: (pool) => [pool.role, pool.description],
    defaults: { role: 'service' },
    example: 'pool create advice-pool role=service',
  });
  registerSection(program, context, {
    name: 'service',
    section: 'services',
    description: 'services that take requests from callers',
    columns: ['pool', 'access', 'idempotent', 'availability', 'latency objective'],
    row: (service) => [
      service.poolId,
      service.access,
      String(service.idempotent),
      service.availabilityTarget,
      `${service.latencyObjectiveMs} ms`,
    ],
    defaults: {},
    example:
      'service create advice poolId=main idempotent=true availabilityTarget=0.999 latencyObjectiveMs=2000 defaultDeadlineMs=10000 maxDeadlineMs=60000 declaredRunMs=20 taskLeaseMs=10000',
  });
}
