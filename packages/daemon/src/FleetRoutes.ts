/** HTTP routes by which operators read the entries and the credits, as this entry sees them. */
import { type FleetMember } from './FleetMember.js';
import { type OperatorAnswer, type OperatorRoute } from './OperatorRoute.js';

export class FleetRoutes {
  constructor(private readonly member: FleetMember) {}

  routes(): readonly OperatorRoute[] {
    return [
      { method: 'GET', path: '/v1/entries', answer: () => this.entries() },
      { method: 'GET', path: '/v1/credits', answer: () => this.credits() },
    ];
  }

  private entries(): OperatorAnswer {
    const { membership, fence } = this.member;
    const live = new Set(membership.liveEntries());
    const members = membership.members().map(({ memberId, entryId, address, zoneId }) => ({
      memberId,
      entryId,
      address,
      zoneId,
      live: live.has(entryId),
    }));
    const fenced = fence.reason() ?? null;
    return { statusCode: 200, body: { memberId: membership.memberId, fenced, members } };
  }

  private credits(): OperatorAnswer {
    const { memberId } = this.member.membership;
    return { statusCode: 200, body: { memberId, teams: this.member.credits.credits() } };
  }
}
