package backends

import (
	"slices"
	"time"
)

// Current reports whether the list still shows a process at the address at which it was
// picked: the entry is listed with the same start time and address, and no other entry has
// got the address since.
func (d *Directory) Current(now time.Time, t Target) bool {
	s := d.servers[t.ID]
	if s == nil || s.StartedAt != t.StartedAt || s.Addr != t.Addr || !s.listed(now) {
		return false
	}
	return !slices.ContainsFunc(d.byAddr[t.Addr], func(o *server) bool { return o != s && o.addrChange > t.pickedAt })
}

// setAddr records that a server is listed at an address.
func (d *Directory) setAddr(s *server, addr string) {
	d.clearAddr(s)
	d.changes++
	s.Addr, s.addrChange = addr, d.changes
	d.byAddr[addr] = append(d.byAddr[addr], s)
}

// clearAddr records that a server is no longer listed at its address.
func (d *Directory) clearAddr(s *server) {
	others := slices.DeleteFunc(d.byAddr[s.Addr], func(o *server) bool { return o == s })
	if len(others) == 0 {
		delete(d.byAddr, s.Addr)
		return
	}
	d.byAddr[s.Addr] = others
}
