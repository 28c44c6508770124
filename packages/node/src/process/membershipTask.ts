import type {TableService} from 'sycamoreyoke/platform';
import type {Member, Router} from 'sycamoreyoke/process/types';

const POLL_MS = 1_000;
const SEED_RETENTION_MS = 360_000;
const SEED_PAGE = 100;

/** Announces the node and tells the router the members of each service. */
export class MembershipTask {
  private timer?: NodeJS.Timeout;

  constructor(
    private readonly table: TableService,
    private readonly router: Router,
    private readonly self: Member,
  ) {}

  async start(): Promise<void> {
    await this.table.run({
      checks: [],
      writes: [
        {
          key: `seeds/${this.self.service}/${this.self.incarnation}`,
          value: JSON.stringify(this.self),
          retentionMs: SEED_RETENTION_MS,
        },
      ],
    });
    await this.pull();
    this.timer = setInterval(() => void this.pull(), POLL_MS);
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async pull(): Promise<void> {
    const rows = await this.table.list('seeds/', '', SEED_PAGE).catch(() => []);
    const members = rows.map((row) => JSON.parse(row.value) as Member);
    for (const service of new Set(members.map((member) => member.service))) {
      this.router.update(
        service,
        members.filter((member) => member.service === service),
      );
    }
  }
}
