package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/mulberrystream/mulberrystream/pkg/confsync"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/node"
)

// largeRules has n organisations with five keys each.
func largeRules(n int) string {
	var sb strings.Builder
	sb.WriteString("domain d1 slots 1 # platform team\nmodel lm versions v1 # model team\n")
	for i := range n {
		fmt.Fprintf(&sb, "organisation o%d rate 100 burst 1000 weight 1 prefer refuse # sales\nallow o%d lm # sales\n", i, i)
		for k := range 5 {
			fmt.Fprintf(&sb, "key k%d-%d organisation o%d salt %016x hash %064x # desk\n", i, k, i, i, k)
		}
	}
	return sb.String()
}

// BenchmarkGeneration measures the step in which a generation read from the platform
// comes into force, for several numbers of organisations.
func BenchmarkGeneration(b *testing.B) {
	for _, organisations := range []int{10, 100, 410} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			text := largeRules(organisations)
			now := time.Unix(1_700_000_000, 0)
			n := node.New(node.DefaultConfig(self, "h0:1", "d1", 0), now)
			revision := ident.Revision(0)
			for b.Loop() {
				now = now.Add(500 * time.Millisecond)
				n.Step(now, node.Tick{})
				revision++
				g := confsync.NewGeneration(revision, []byte(fmt.Sprintf("%s# revision %d\n", text, revision)))
				outcome := confsync.ReadOutcome{Generation: g, PlatformVersion: uint64(revision)}
				if len(n.Step(now, node.ConfigRead{Outcome: outcome})) == 0 {
					b.Fatal("the generation did not come into force")
				}
			}
		})
	}
}
