/** Counts the requests of one entry since its last summary, by service and by team. */
import { type RequestOutcome, type ServiceId, type TeamId } from '@acaciadock/core';
import { type BurnSummary, type ServiceTally, type TeamTally } from './BurnSummary.js';
import { CauseCounter } from './CauseCounter.js';
import { type OutcomeClass } from './classifyOutcome.js';

const MAX_CAUSES_COUNTED = 500;
const MAX_CAUSES_REPORTED = 10;

interface MutableServiceTally {
  total: number;
  bad: number;
  slow: number;
  readonly causes: CauseCounter;
}

interface MutableTeamTally {
  runMs: number;
  answered: number;
  refused: number;
}

export class MinuteTally {
  private readonly services = new Map<ServiceId, MutableServiceTally>();

  private readonly teams = new Map<TeamId, MutableTeamTally>();

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

  /** Returns the fields of a summary that come from this tally. */
  summary(): Pick<BurnSummary, 'services' | 'teams'> {
    return {
      services: Object.fromEntries(
        [...this.services].map(([serviceId, { causes, ...counts }]): [ServiceId, ServiceTally] => [
          serviceId,
          { ...counts, causes: causes.top(MAX_CAUSES_REPORTED) },
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

  private serviceCounts(serviceId: ServiceId): MutableServiceTally {
    const known = this.services.get(serviceId);
    if (known) return known;
    const created = { total: 0, bad: 0, slow: 0, causes: new CauseCounter(MAX_CAUSES_COUNTED) };
    this.services.set(serviceId, created);
    return created;
  }

  private teamCounts(teamId: TeamId): MutableTeamTally {
    const known = this.teams.get(teamId);
    if (known) return known;
    const created = { runMs: 0, answered: 0, refused: 0 };
    this.teams.set(teamId, created);
    return created;
  }
}
