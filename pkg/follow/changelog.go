package follow

import "slices"

// maxChanges is the number of changes kept for hosts that reconnect. The changes of a few
// seconds suffice; a host that was away for longer lists again.
const maxChanges = 512

// changeLog holds the latest changes for hosts that read through a Mirror, within a bound in
// bytes. A host that continues from a revision within the log gets the latest change of every
// key that has changed since, but not every change in between: a replaced value that takes
// more than its share of the bound is dropped at once.
type changeLog struct {
	maxBytes int
	items    []Item // in the order of their revisions
	bytes    int    // of keys and values of items
	start    uint64 // the log covers all changes after this revision
}

// reset empties the log, which from then on covers the changes after a revision.
func (l *changeLog) reset(revision uint64) {
	l.items, l.bytes, l.start = nil, 0, revision
}

// add appends changes. replaced reports whether an item is no longer the current one of its
// key, so that a later change of the key is in the log too.
func (l *changeLog) add(items []Item, replaced func(Item) bool) {
	for _, it := range items {
		l.items = append(l.items, it)
		l.bytes += it.bytes()
	}
	l.items = slices.DeleteFunc(l.items, func(it Item) bool {
		drop := !it.Removed && it.bytes() > l.maxBytes/maxChanges && replaced(it)
		if drop {
			l.bytes -= it.bytes()
		}
		return drop
	})
	gone := 0
	for len(l.items)-gone > maxChanges || l.bytes > l.maxBytes {
		l.bytes -= l.items[gone].bytes()
		l.start = l.items[gone].Revision
		gone++
	}
	l.items = slices.Delete(l.items, 0, gone)
}

// after returns the changes after a revision. ok is false if the log no longer covers all of
// them.
func (l *changeLog) after(revision uint64) (items []Item, ok bool) {
	if revision < l.start {
		return nil, false
	}
	for _, it := range l.items {
		if it.Revision > revision {
			items = append(items, it)
		}
	}
	return items, true
}
