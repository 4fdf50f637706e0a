/** One partition of a topic: its records, and the newest record of each key. */
export class Partition {
  records = [];

  newest = new Map();

  busy = Promise.resolve();

  append(key, value) {
    const record = { key, value, offset: this.records.length };
    this.records.push(record);
    if (value.length === 0) this.newest.delete(key);
    else this.newest.set(key, record);
    return record.offset;
  }
}
