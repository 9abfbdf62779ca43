package quota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/quota"
)

var _ = Describe("the number of reporting hosts", func() {
	// A number that is kept too long lets hosts of a partitioned fleet use the shares of
	// hosts that they no longer hear, which may be using them too.
	It("is the same as counted from the reports, over random courses of reports, restarts and silences", func() {
		for seed := range uint64(200) {
			rnd := rand.New(rand.NewPCG(seed, 7))
			now := time.Unix(1000, 0)
			l := quota.New(quota.Config{SilentAfter: 500 * time.Millisecond, ForgetAfter: 3 * time.Second}, now)
			l.SetLimit(now, "o", quota.Limit{Rate: 100, Burst: 100})
			silent := map[int]bool{}
			for range 400 {
				now = now.Add(time.Duration(rnd.Int64N(int64(60 * time.Millisecond))))
				host := rnd.IntN(12)
				switch rnd.IntN(12) {
				case 0:
					silent[host] = !silent[host]
				case 1:
					l.SetFleet(time.Duration(300+100*rnd.IntN(5))*time.Millisecond, 0)
				case 2:
					l.Tick(now)
				case 3:
					l.Take(now, "o", 1)
				default:
					if !silent[host] {
						l.ApplyReport(now, quota.Report{
							Host: ident.HostID(fmt.Sprint(host)), Incarnation: ident.Incarnation(rnd.IntN(20) / 19),
							Used: map[ident.Organisation]int64{"o": int64(rnd.IntN(9))},
						})
					}
				}
				used, counted := l.CountReporting(now)
				Expect(used).To(Equal(counted), "seed %d at %v", seed, now)
			}
		}
	})
})
