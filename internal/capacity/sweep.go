package capacity

import (
	"time"
)

// Durations of the phases of a measurement. Before anything is counted, the token buckets
// fill after the quarantine, and the number of streams, which take 9 s, becomes steady.
const (
	warmTime   = 20 * time.Second // without requests
	settleTime = 10 * time.Second // with requests, not counted
	windowTime = 3 * time.Second  // counted
)

// Sample is the measurement of one shape.
type Sample struct {
	Shape Shape            `json:"shape"`
	Usage Usage            `json:"usage"`
	Kinds map[string]Kind  `json:"kinds"`
	Parts map[string]Usage `json:"parts"` // Messages and Bytes only
	Heap  float64          `json:"heap"`  // bytes of a host with its requests
	// Change is the cost of a configuration change at each host, List that of a new
	// version of the host list.
	Change, List Cost
}

// Cost is the cost of one change at one host.
type Cost struct {
	Bytes  float64       // sent to other hosts
	Micros float64       // processor time
	Within time.Duration // until it is in force at all hosts of the domain
}

// Measure runs a cluster of a shape and returns its measurement.
func Measure(s Shape) Sample {
	c, heap := HeapBytes(func() *Cluster {
		c := NewCluster(s, 1)
		c.Quiet(true)
		c.Run(warmTime)
		c.Quiet(false)
		c.Run(settleTime)
		return c
	})
	out := Sample{Shape: s, Kinds: map[string]Kind{}, Parts: map[string]Usage{}}
	out.Heap = float64(heap) / float64(len(c.hosts))
	c.Meter.Reset()
	c.Run(windowTime)
	out.Usage = c.Usage(windowTime)
	per := windowTime.Seconds() * float64(s.Hosts)
	for name, k := range c.Meter.Kinds {
		out.Kinds[name] = *k
	}
	for name, t := range c.Meter.Parts {
		out.Parts[name] = Usage{Messages: float64(t.Messages) / per, Bytes: float64(t.Bytes) / per}
	}
	c.Quiet(true)
	c.Run(streamTime + time.Second)
	out.Change = c.ChangeCost()
	out.List = c.cost("hostlist", c.ChangeHosts, func() bool { return c.countHostsWithList() == s.Hosts })
	return out
}

func (c *Cluster) countHostsWithList() int {
	n := 0
	for _, h := range c.measuredHosts {
		if h.list == c.list.Version {
			n++
		}
	}
	return n
}

// cost measures a change until it has reached all hosts.
func (c *Cluster) cost(part string, change func(), done func() bool) Cost {
	const step, limit = 50 * time.Millisecond, 60 * time.Second
	c.Meter.Reset()
	change()
	var out Cost
	for out.Within < limit && !done() {
		c.Run(step)
		out.Within += step
	}
	for name, k := range c.Meter.Kinds {
		if name == "ConfigRead" || name == "HostsRead" || name == "PeerMessage "+part {
			out.Micros += float64(k.Time.Microseconds())
		}
	}
	if t := c.Meter.Parts[part]; t != nil {
		out.Bytes = float64(t.Bytes)
	}
	out.Micros /= float64(c.Shape.Hosts)
	out.Bytes /= float64(c.Shape.Hosts)
	return out
}

// ChangeCost publishes a generation with one changed line and measures what it
// costs until it is in force at all hosts of the domain.
func (c *Cluster) ChangeCost() Cost {
	return c.cost("config", c.Publish, func() bool { return c.InForce() == c.Shape.Hosts })
}
