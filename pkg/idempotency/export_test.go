package idempotency

// HeldRecords counts what the memory keeps per key, per call and per handover.
func (m *Memory) HeldRecords() int {
	return len(m.owner.records) + len(m.owner.queue) + len(m.entry.calls) + len(m.entry.ending) + len(m.kept)
}
