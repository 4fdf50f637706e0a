/** HTTP route for the status of all entries. */
import { type FleetStatus } from './FleetStatus.js';
import { type OperatorRoute } from './OperatorRoute.js';

export class StatusRoutes {
  constructor(private readonly status: FleetStatus) {}

  routes(): readonly OperatorRoute[] {
    return [
      {
        method: 'GET',
        path: '/v1/status',
        answer: async () => ({ statusCode: 200, body: await this.status.queryEntries() }),
      },
    ];
  }
}
