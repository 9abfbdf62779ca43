package fleetview

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// Slots is the number of distinct fencing tokens for each revision of the store.
const Slots = 1 << 12

// hashedSlot returns the first slot of a host, which older programs always use, and the
// step to its next ones. The step is odd, so that all slots are reached.
func hashedSlot(id ident.HostID) (slot, step uint64) {
	h := xxhash.Sum64String(string(id))
	return h % Slots, (h>>32)%Slots | 1
}

// Slot returns the slot of this host's fencing tokens. No known host has the same one: not
// the one that it has announced, nor the first of a host that has announced none. A slot
// that has been used is kept, unless a host has it that does not give way.
func (v *View) Slot() uint64 {
	taken := make(map[uint64]bool, len(v.hosts))
	for id, r := range v.hosts {
		announced := r.report.Slot > 0
		slot, _ := hashedSlot(id)
		if announced {
			slot = r.report.Slot - 1
		}
		givesWay := announced && v.cfg.Self.ID < id || !announced && r.keepNotes
		if v.slotUsed && slot == v.slot && givesWay {
			continue
		}
		taken[slot] = true
	}
	if v.slotUsed && !taken[v.slot] {
		return v.slot
	}
	first, step := hashedSlot(v.cfg.Self.ID)
	for i := range uint64(Slots) {
		if slot := (first + i*step) % Slots; !taken[slot] {
			return slot
		}
	}
	return first
}

// UseSlot returns Slot and keeps it from now on.
func (v *View) UseSlot() uint64 {
	v.slot = v.Slot()
	v.slotUsed = true
	return v.slot
}
