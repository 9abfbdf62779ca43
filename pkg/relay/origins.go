package relay

import (
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/origin"
)

// ReadHistory asks for a read of the past of the list of backend servers, see HistoryRead.
type ReadHistory struct{}

func (ReadHistory) effect() {}

// HistoryRead reports the result of ReadHistory.
type HistoryRead struct {
	Reach   time.Duration    // how far back the history is complete
	Servers []origin.Serving // all that were listed at any time within Reach
	Err     error
}

func (HistoryRead) event() {}

// historyRead applies a history of the list.
func (r *Relay) historyRead(e HistoryRead) {
	if e.Err == nil {
		r.origins.Past(r.now, e.Reach, e.Servers)
	}
}
