// A keyed topic with one partition: all records, and the newest of each key.
export class Topic {
  records = [];

  newest = new Map();

  appending = Promise.resolve();

  add(key, value) {
    const offset = this.records.length;
    this.records.push({ key, value });
    this.newest.delete(key);
    if (value.length > 0) this.newest.set(key, { key, value, offset });
    return offset;
  }
}
