/** What one entry has seen since its last summary. */
import { type RequestOutcome, type ServiceId, type TeamId } from '@acaciadock/core';
import { type BurnSummary, type ServiceTally, type TeamTally } from './BurnSummary.js';
import { CauseCounter } from './CauseCounter.js';
import { type OutcomeClass } from './classifyOutcome.js';

const MOST_CAUSES_COUNTED = 500;
const MOST_CAUSES_TOLD = 10;

interface ServiceCounts {
  total: number;
  bad: number;
  slow: number;
  readonly causes: CauseCounter;
}

interface TeamCounts {
  runMs: number;
  answered: number;
  refused: number;
}

export class MinuteTally {
  private readonly services = new Map<ServiceId, ServiceCounts>();

  private readonly teams = new Map<TeamId, TeamCounts>();

  get isEmpty(): boolean {
    return this.services.size === 0 && this.teams.size === 0;
  }

  add(outcome: RequestOutcome, outcomeClass: OutcomeClass): void {
    this.addTeam(outcome);
    if (outcomeClass === 'not-counted') return;
    const counts = this.serviceCounts(outcome.serviceId);
    counts.total += 1;
    if (outcomeClass === 'slow') counts.slow += 1;
    if (outcomeClass !== 'bad') return;
    counts.bad += 1;
    counts.causes.add({
      problemType: outcome.problemType ?? 'unknown',
      ...(outcome.teamId === undefined ? {} : { teamId: outcome.teamId }),
      ...(outcome.targetId === undefined ? {} : { targetId: outcome.targetId }),
      ...(outcome.zoneId === undefined ? {} : { zoneId: outcome.zoneId }),
      count: 1,
    });
  }

  /** The parts of a summary that this tally fills. */
  summary(): Pick<BurnSummary, 'services' | 'teams'> {
    return {
      services: Object.fromEntries(
        [...this.services].map(([serviceId, { causes, ...counts }]): [ServiceId, ServiceTally] => [
          serviceId,
          { ...counts, causes: causes.top(MOST_CAUSES_TOLD) },
        ]),
      ),
      teams: Object.fromEntries(
        [...this.teams].map(([teamId, counts]): [TeamId, TeamTally] => [teamId, { ...counts }]),
      ),
    };
  }

  private addTeam(outcome: RequestOutcome): void {
    if (outcome.teamId === undefined) return;
    const counts = this.teamCounts(outcome.teamId);
    if (outcome.executed !== 'no') counts.runMs += Math.max(0, outcome.totalMs - outcome.queuedMs);
    if (outcome.ok) counts.answered += 1;
    else counts.refused += 1;
  }

  private serviceCounts(serviceId: ServiceId): ServiceCounts {
    const known = this.services.get(serviceId);
    if (known) return known;
    const created = { total: 0, bad: 0, slow: 0, causes: new CauseCounter(MOST_CAUSES_COUNTED) };
    this.services.set(serviceId, created);
    return created;
  }

  private teamCounts(teamId: TeamId): TeamCounts {
    const known = this.teams.get(teamId);
    if (known) return known;
    const created = { runMs: 0, answered: 0, refused: 0 };
    this.teams.set(teamId, created);
    return created;
  }
}
