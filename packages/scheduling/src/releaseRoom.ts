import type {Update} from '@samphireramp/kernel';
import type {ResourceVector} from '@samphireramp/model';
import {CAPACITY} from '@samphireramp/placement';
import {PLACE_WORK} from './messages';
import {LINGERING, changeUsage} from './WorkState';

/** Room on a worker that some work holds. */
export interface HeldRoom {
  readonly shardId: string;
  readonly worker: string;
  readonly team: string;
  readonly need: ResourceVector;
}

/** Gives back room, so that waiting work may take it. */
export function releaseRoom(update: Update, room: HeldRoom): void {
  const capacity = update.write(CAPACITY);
  if (capacity.rowOf(room.worker) !== undefined) {
    capacity.release(room.worker, room.need);
  }
  changeUsage(update, room.shardId, room.team, room.need, -1);
  update.dispatchOnce(PLACE_WORK, room.shardId, {
    shardId: room.shardId,
  });
}

/** Counts room that work holds already, whether or not it fits. */
export function adoptRoom(update: Update, room: HeldRoom): void {
  const capacity = update.write(CAPACITY);
  if (capacity.rowOf(room.worker) !== undefined) {
    capacity.adopt(room.worker, room.need);
  }
  changeUsage(update, room.shardId, room.team, room.need, 1);
}

/** Keeps room taken until `until`, while work may still run there. */
export function letLinger(
  update: Update,
  id: string,
  room: HeldRoom,
  until: number,
): void {
  update.write(LINGERING).set(id, {id, ...room, until});
}

/** Gives back the room that was kept long enough. */
export function releaseLingering(update: Update): void {
  for (const row of [...update.read(LINGERING).values()]) {
    if (update.now >= row.until) {
      update.write(LINGERING).delete(row.id);
      releaseRoom(update, row);
    }
  }
}
