package driver

import (
	"context"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/hostlist"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// Platform reads the configuration service and the host list.
type Platform interface {
	// ReadConfig reads the current generation, or waits up to wait for a manifest
	// version newer than after.
	ReadConfig(ctx context.Context, after uint64, wait time.Duration) (confsync.ReadOutcome, error)
	// ReadHosts does the same for the host list.
	ReadHosts(ctx context.Context, after uint64, wait time.Duration) (l hostlist.List, notChanged bool, err error)
}

func (d *Driver) readConfig(r confsync.ReadEffect) {
	if wait := time.Until(r.NotBefore); wait > 0 {
		select {
		case <-time.After(wait):
		case <-d.ctx.Done():
			return
		}
	}
	ctx, cancel := context.WithDeadline(d.ctx, r.Deadline)
	defer cancel()
	out, err := d.platform.ReadConfig(ctx, r.After, r.Wait)
	if err != nil {
		out.Err = err
	}
	d.post(node.ConfigRead{Outcome: out})
}

func (d *Driver) readHosts(e node.ReadHosts) {
	ctx, cancel := context.WithTimeout(d.ctx, e.Wait+d.cfg.WatchTimeoutMargin)
	defer cancel()
	list, notChanged, err := d.platform.ReadHosts(ctx, e.After, e.Wait)
	read := node.HostsRead{List: list, NotChanged: notChanged}
	if err != nil {
		read.Err = err.Error()
	}
	d.post(read)
}
