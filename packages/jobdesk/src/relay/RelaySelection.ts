/**
 * Decides whether the calls to a target are relayed and by which entry. An owner at ease calls all targets
 * itself. While it is busy, the strongest other entries relay, each for the targets that rendezvous
 * hashing gives it, so that a relay that comes or goes changes few others' targets.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { LoadMeter } from '@acaciadock/coordinator';
import { type GroupMember } from '@acaciadock/journal';
import { createHash } from 'node:crypto';
import { type RelayLink } from './RelayLink.js';

/** More relays get smaller batches each, and every batch costs the owner a message. */
const MAX_RELAYS = 4;

/** A relay has at least this share of the owner's CPU capacity, as it bears a part of the owner's calls. */
const MIN_CPU_SHARE = 0.4;

/** Busy share of the event loop from which calls are relayed. */
const RELAY_FROM_SHARE = 0.6;

/** Calls are sent directly again once the busy share has been below this for the time after it. */
const DIRECT_BELOW_SHARE = 0.2;
const DIRECT_AFTER_MS = 5_000;

const UPDATE_MS = 50;

/** How long an entry whose link has failed is not used, in milliseconds. */
const FAILED_PAUSE_MS = 3_000;

/**
 * How long a target is called directly after it didn't answer a relay, in milliseconds: the relay may be
 * cut off from it.
 */
const AVOID_MS = 3_000;

/** How long the link to an entry that has left the group is kept for its calls, in milliseconds. */
const CLOSE_DELAY_MS = 2_000;

export interface RelaySelectionDeps {
  readonly self: GroupMember;
  readonly members: () => readonly GroupMember[];
  /** Total time that the event loop was busy, in milliseconds. */
  readonly busyMs: () => number;
  readonly createLink: (member: GroupMember) => RelayLink;
  /** Whether the previous owner was busy, as this entry relayed its calls: this one will be, too. */
  readonly wasPreviousBusy: boolean;
  readonly clock: Clock;
  readonly logger: Logger;
}

/** Identifies one process of an entry: a later one needs a link of its own. */
function keyOf({ entryId, bootMs }: GroupMember): string {
  return `${entryId}/${bootMs}`;
}

function weightOf(targetId: string, key: string): string {
  return createHash('md5').update(`${targetId}\n${key}`).digest('hex');
}

export class RelaySelection extends Disposable {
  private readonly load: LoadMeter;

  private readonly links = new Map<string, RelayLink>();

  /** Monotonic time until which an entry is not used. */
  private readonly pausedUntilMs = new Map<string, number>();

  /** Choice for each target; valid while the open links stay the same. */
  private readonly chosen = new Map<string, RelayLink>();

  /** Monotonic time until which a target is called directly. */
  private readonly avoidedUntilMs = new Map<string, number>();

  private openKeys = '';

  private isRelaying: boolean;

  private lastBusyMs: number;

  constructor(private readonly deps: RelaySelectionDeps) {
    super();
    this.load = new LoadMeter(deps.clock, deps.busyMs);
    this.isRelaying = deps.wasPreviousBusy;
    this.lastBusyMs = deps.wasPreviousBusy ? deps.clock.monotonicMs() : -Infinity;
    this.update();
    this.register(deps.clock.every(UPDATE_MS, () => this.update()));
    this.register({ dispose: () => this.closeAll() });
  }

  /** The link to send calls to this target over; undefined if they are to be sent directly. */
  linkFor(targetId: string): RelayLink | undefined {
    if (!this.isRelaying || this.isAvoided(targetId)) return undefined;
    const known = this.chosen.get(targetId);
    if (known?.isOpen === true) return known;
    const link = this.choose(targetId);
    if (link) this.chosen.set(targetId, link);
    return link;
  }

  /** Calls a target directly for a while, as it didn't answer its relay. */
  avoid(targetId: string): void {
    this.avoidedUntilMs.set(targetId, this.deps.clock.monotonicMs() + AVOID_MS);
  }

  /** Lets the relay of a target close its connections to it. */
  forget(targetId: string, address: string): void {
    this.chosen.get(targetId)?.forget({ targetId, address });
    this.chosen.delete(targetId);
    this.avoidedUntilMs.delete(targetId);
  }

  private isAvoided(targetId: string): boolean {
    const untilMs = this.avoidedUntilMs.get(targetId);
    if (untilMs === undefined) return false;
    if (this.deps.clock.monotonicMs() < untilMs) return true;
    this.avoidedUntilMs.delete(targetId);
    return false;
  }

  private choose(targetId: string): RelayLink | undefined {
    let best: { readonly weight: string; readonly link: RelayLink } | undefined;
    for (const [key, link] of this.links) {
      if (!link.isOpen) continue;
      const weight = weightOf(targetId, key);
      if (!best || weight > best.weight) best = { weight, link };
    }
    return best?.link;
  }

  private update(): void {
    this.load.update();
    const nowMs = this.deps.clock.monotonicMs();
    if (this.load.busyShare >= DIRECT_BELOW_SHARE) this.lastBusyMs = nowMs;
    if (this.load.busyShare >= RELAY_FROM_SHARE) this.isRelaying = true;
    if (nowMs - this.lastBusyMs > DIRECT_AFTER_MS) this.isRelaying = false;
    this.updateLinks(nowMs);
    this.noticeChange();
  }

  private updateLinks(nowMs: number): void {
    const wanted = this.isRelaying ? this.wantedMembers(nowMs) : [];
    const wantedKeys = new Set(wanted.map(keyOf));
    [...this.links.keys()].filter((key) => !wantedKeys.has(key)).forEach((key) => this.close(key));
    wanted
      .filter((member) => !this.links.has(keyOf(member)))
      .forEach((member) => this.open(member));
  }

  private wantedMembers(nowMs: number): readonly GroupMember[] {
    const { self, members } = this.deps;
    return members()
      .filter(({ entryId }) => entryId !== self.entryId)
      .filter(({ cpuMilli }) => cpuMilli >= self.cpuMilli * MIN_CPU_SHARE)
      .filter((member) => (this.pausedUntilMs.get(keyOf(member)) ?? -Infinity) <= nowMs)
      .sort((a, b) => b.cpuMilli - a.cpuMilli || a.entryId.localeCompare(b.entryId))
      .slice(0, MAX_RELAYS);
  }

  private open(member: GroupMember): void {
    const key = keyOf(member);
    const link = this.deps.createLink(member);
    this.links.set(key, link);
    link.onFailed((reason) => {
      if (this.links.get(key) !== link) return;
      this.links.delete(key);
      this.pausedUntilMs.set(key, this.deps.clock.monotonicMs() + FAILED_PAUSE_MS);
      this.deps.logger.warn('relay-failed', { relay: member.entryId, reason });
      link.dispose();
    });
  }

  private closeAll(): void {
    const links = [...this.links.values()];
    this.links.clear();
    links.forEach((link) => link.dispose());
  }

  private close(key: string): void {
    const link = this.links.get(key);
    this.links.delete(key);
    if (!link) return;
    [...this.chosen]
      .filter(([, other]) => other === link)
      .forEach(([targetId]) => this.chosen.delete(targetId));
    this.deps.clock.after(CLOSE_DELAY_MS, () => link.dispose());
  }

  /** Logs which entries relay, and chooses anew for each target, after a change. */
  private noticeChange(): void {
    const open = [...this.links].filter(([, link]) => link.isOpen).map(([key]) => key);
    const openKeys = this.isRelaying ? open.join(' ') : '';
    if (openKeys === this.openKeys) return;
    this.openKeys = openKeys;
    this.chosen.clear();
    const busyShare = Number(this.load.busyShare.toFixed(2));
    this.deps.logger.info('relays-changed', { relays: openKeys, busyShare });
  }
}
