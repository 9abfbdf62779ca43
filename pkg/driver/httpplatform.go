package driver

import (
	"context"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/membership"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

// HTTPPlatform implements Platform over HTTP.
type HTTPPlatform struct{ Client *platform.Client }

// ReadConfig reads or watches the configuration.
func (p HTTPPlatform) ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confsync.ReadOutcome, error) {
	g, notChanged, err := p.Client.ReadConfig(ctx, after, wait)
	if err != nil {
		return confsync.ReadOutcome{}, err
	}
	if notChanged {
		return confsync.ReadOutcome{NotChanged: true, PlatformVersion: after}, nil
	}
	return confsync.ReadOutcome{
		Generation:      confsync.NewGeneration(g.Revision, []byte(g.Text)),
		PlatformVersion: g.Version,
	}, nil
}

// ReadHosts reads or watches the host list.
func (p HTTPPlatform) ReadHosts(ctx context.Context, after uint64, wait time.Duration) (hostlist.List, bool, error) {
	l, notChanged, err := p.Client.Hosts(ctx, after, wait)
	if err != nil || notChanged {
		return hostlist.List{}, notChanged, err
	}
	out := hostlist.List{Version: l.Version, Backends: l.Backends}
	for _, h := range l.EntryHosts {
		out.EntryHosts = append(out.EntryHosts, membership.HostInfo{
			ID:      h.ID,
			Addr:    h.Addr,
			Domain:  h.Domain,
			Slot:    h.Slot,
			Leaving: h.Leaving,
		})
	}
	return out, false, nil
}
