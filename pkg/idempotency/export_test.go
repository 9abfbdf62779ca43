package idempotency

// HeldRecords returns the number of entries that the store keeps for keys, calls and
// handovers.
func (m *Store) HeldRecords() int {
	return len(m.owner.records) + len(m.owner.expiryQueue) + len(m.entry.calls) + len(m.entry.pendingEnds) + len(m.storedHandovers)
}
