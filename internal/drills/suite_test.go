package drills_test

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// fleetVar names the fleet whose drills a test process runs.
const fleetVar = "DRILLS_FLEET"

// TestDrills runs the drills of both fleets in parallel, each in its own process, since
// the specs of one process run sequentially.
func TestDrills(t *testing.T) {
	if name := os.Getenv(fleetVar); name != "" {
		RegisterFailHandler(Fail)
		suite, reporter := GinkgoConfiguration()
		suite.LabelFilter = name
		RunSpecs(t, "drills on fleet "+name, suite, reporter)
		return
	}
	for _, name := range []string{"bagmati", "large"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cmd := exec.Command(os.Args[0], childArgs()...)
			cmd.Env = append(os.Environ(), fleetVar+"="+name)
			out, err := cmd.CombinedOutput()
			if err != nil || testing.Verbose() {
				t.Logf("%s", out)
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
}

// childArgs returns the flags of this process without those that name a file.
func childArgs() []string {
	out := []string{"-test.run=^TestDrills$"}
	for _, a := range os.Args[1:] {
		if !strings.HasPrefix(a, "-test.testlogfile") && !strings.HasPrefix(a, "-test.run") && !strings.HasPrefix(a, "-test.coverprofile") {
			out = append(out, a)
		}
	}
	return out
}

// propagationLimit is the time within which docs/design.md requires publications,
// withdrawn keys, recalls and leaving backend servers to take effect.
const propagationLimit = 6 * time.Second

// Keys of the example rules.
const (
	keyEverest   = "everest-1.demo-secret-everest-1"
	keyHimal     = "himal-1.demo-secret-himal-1"
	keyKathmandu = "kathmandu-1.demo-secret-kathmandu-1"
)

// ampleRates raises the limits of the organisations that the load and the drills use and
// lets their requests wait, since a busy machine would miss the latency target.
var ampleRates = []string{
	"rate 9000 burst 60000 weight 4 prefer refuse", "rate 9000000 burst 9000000 weight 4 prefer wait",
	"rate 7000 burst 50000 weight 4 prefer refuse", "rate 9000000 burst 9000000 weight 4 prefer wait",
}

// twoDomains adapts the rules to two domains of four slots.
var twoDomains = []string{
	"domain balaju slots 2", "domain balaju slots 4",
	"domain teku slots 2", "domain teku slots 4",
	"domain patan slots 2 # platform team\n", "",
	"domain thimi slots 2 # platform team\n", "",
}

// site is a fleet with the rules that are in force between drills.
type site struct {
	*fleet.Fleet
	rules    string
	revision ident.Revision
	network  *partitions // nil without proxies
}

// The fleets, started when a drill first needs them.
var bagmati, large *site

// onBagmati returns, and starts if necessary, the fleet with two hosts in each of four domains.
func onBagmati() *site {
	GinkgoHelper()
	if bagmati == nil {
		var err error
		bagmati, err = startSite(fake.BagmatiPlan(), nil, ampleRates...)
		Expect(err).NotTo(HaveOccurred())
	}
	return bagmati
}

// onLarge returns, and starts if necessary, the fleet with four hosts in each of two
// domains and with proxies between the domains and in front of the platform.
func onLarge() *site {
	GinkgoHelper()
	if large == nil {
		plan := fake.BagmatiPlan()
		plan.Domains = []ident.FailureDomain{"teku", "balaju"}
		var err error
		large, err = startSite(plan, newPartitions(), append(twoDomains, ampleRates...)...)
		Expect(err).NotTo(HaveOccurred())
	}
	return large
}

var _ = AfterSuite(func() {
	for _, s := range []*site{bagmati, large} {
		if s != nil {
			s.Close()
		}
	}
})

var _ = ReportAfterEach(func(r SpecReport) {
	if !r.Failed() {
		return
	}
	for _, s := range []*site{bagmati, large} {
		if s == nil {
			continue
		}
		for _, h := range s.Hosts {
			fmt.Fprintf(GinkgoWriter, "log of %s:\n%s\n", h.ID, tail(h.Log(), 6000))
		}
	}
})

func tail(s string, n int) string { return s[max(0, len(s)-n):] }

func startSite(plan fake.Plan, n *partitions, replace ...string) (*site, error) {
	rules, err := fleet.ReadRules("../../examples/bagmati.rules", replace...)
	if err != nil {
		return nil, err
	}
	timing := fake.DefaultTiming()
	timing.Scale = 0.2
	// On a busy machine the scaled lifetime would end before a transfer begins. The
	// router's own transfer timeout still applies.
	timing.KVLifetime = time.Minute
	plan.Version = "v7"
	o := fleet.Options{
		Plan:  plan,
		Fake:  fake.Options{Timing: &timing, Seed: 1, Rules: rules},
		Hosts: 8,
		Args:  []string{"--drain-linger", "300ms"},
	}
	if n != nil {
		o.Network = func(d *fake.Deployment) (fleet.Network, error) { return n, n.start(d) }
	}
	f, err := fleet.Start(o)
	if err != nil {
		return nil, err
	}
	return &site{Fleet: f, rules: rules, revision: 1, network: n}, nil
}

// publish publishes rules under the next revision and returns the time just before.
func (s *site) publish(rules string) time.Time {
	s.revision++
	at := time.Now()
	s.Deployment.Platform.Publish(s.revision, rules)
	return at
}

// awaitInForce waits until the given hosts have a revision in force, and returns when the
// last of them had.
func awaitInForce(hosts []*fleet.Host, r ident.Revision) time.Time {
	GinkgoHelper()
	var last time.Time
	for _, h := range hosts {
		var at time.Time
		err := fleet.Await(fmt.Sprintf("revision %d on %s", r, h.ID), func() (ok bool) {
			at, ok = h.InForce(r)
			return ok
		})
		Expect(err).NotTo(HaveOccurred())
		if at.After(last) {
			last = at
		}
	}
	return last
}

// expectInForce checks that all hosts have the newest revision in force within
// propagationLimit.
func (s *site) expectInForce(published time.Time) {
	GinkgoHelper()
	last := awaitInForce(s.Hosts, s.revision)
	Expect(last.Sub(published)).To(BeNumerically("<", propagationLimit))
}

// restore publishes the initial rules again and waits until all hosts are ready.
func (s *site) restore() {
	GinkgoHelper()
	s.publish(s.rules)
	awaitInForce(s.Hosts, s.revision)
	Expect(s.WaitReady()).To(Succeed())
}

// workStartedAfter returns the records of matching work that backend servers started
// after a time, except orders.
func (s *site) workStartedAfter(t time.Time, match func(record.Record) bool) []record.Record {
	return s.Deployment.Log.Find(func(r record.Record) bool {
		return r.Kind == record.Start && r.Step != "order" && r.Time.After(t) && match(r)
	})
}
