package e2e_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/fake"
	"github.com/mulberrystream/mulberrystream/internal/fleet"
)

func TestE2E(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "e2e")
}

// Keys of the example rules.
const (
	keyEverest = "everest-1.demo-secret-everest-1"
	keyHimal   = "himal-1.demo-secret-himal-1"
)

// ampleRate raises the limits of the first organisation and lets its requests wait, for
// tests of other features: on a busy machine the latency target would refuse them.
var ampleRate = []string{
	"rate 9000 burst 60000 weight 4 prefer refuse",
	"rate 9000000 burst 9000000 weight 4 prefer wait",
}

// rulesText returns the example rules with parts of them replaced.
func rulesText(replace ...string) string {
	GinkgoHelper()
	text, err := fleet.ReadRules("../../examples/bagmati.rules", replace...)
	Expect(err).NotTo(HaveOccurred())
	return text
}

// startFleet starts the Bagmati plan with the given number of entry hosts.
func startFleet(hosts int, rules string, args ...string) *fleet.Fleet {
	GinkgoHelper()
	timing := fake.DefaultTiming()
	timing.Scale = 0.2
	// On a busy machine the scaled lifetime would end before a transfer begins. The
	// router's own transfer timeout still applies.
	timing.KVLifetime = time.Minute
	plan := fake.BagmatiPlan()
	plan.Version = "v7"
	f, err := fleet.Start(fleet.Options{
		Plan:  plan,
		Fake:  fake.Options{Timing: &timing, Seed: 1, Rules: rules},
		Hosts: hosts,
		Args:  args,
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, h := range f.Hosts {
				fmt.Fprintf(GinkgoWriter, "log of %s:\n%s\n", h.ID, h.Log())
			}
		}
		f.Close()
	})
	return f
}
