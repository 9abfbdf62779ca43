package main

import (
	"bytes"
	"context"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/load"
)

func TestMulberryLoad(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mulberryload")
}

var _ = Describe("run", func() {
	command := func() runCommand {
		return runCommand{
			Hosts: []string{"a=127.0.0.1:0"}, Workload: "bagmati", Policy: "p", Seed: 1, Load: 1, RateScale: 1,
			Duration: time.Second, TimeScale: 0.01, Timeout: time.Second,
		}
	}

	It("writes a summary that compare reads, also when no host answers", func() {
		c := command()
		c.Out = GinkgoT().TempDir()
		var out bytes.Buffer
		Expect(c.run(context.Background(), &out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("unsent"))
		cmp := compareCommand{Files: []string{filepath.Join(c.Out, "summary.json")}}
		Expect(cmp.run(&out)).To(Succeed())
	})

	It("sets the load to a share of the capacity, whatever the time scale", func() {
		c := command()
		c.OfCapacity = 0.9
		w, err := c.workload()
		Expect(err).NotTo(HaveOccurred())
		c.TimeScale = 1
		full, err := c.workload()
		Expect(err).NotTo(HaveOccurred())
		Expect(full.Load).To(BeNumerically(">", 1))
		Expect(w.Load).To(BeNumerically("~", full.Load, 1e-9))
	})

	DescribeTable("rejects settings that would run a different load than requested", func(change func(*runCommand)) {
		c := command()
		change(&c)
		_, err := c.workload()
		Expect(err).To(HaveOccurred())
	},
		Entry("workload", func(c *runCommand) { c.Workload = "x" }),
		Entry("overload without factor", func(c *runCommand) { c.Overload = []string{"himal-towers"} }),
		Entry("overload of an unknown organisation", func(c *runCommand) { c.Overload = []string{"x=2"} }),
	)

	It("uses the address as the id of a host without one", func() {
		Expect(parseHosts([]string{"b=1.2.3.4:5", "1.2.3.4:6"})).To(Equal([]load.Host{
			{ID: "b", Addr: "1.2.3.4:5"}, {ID: "1.2.3.4:6", Addr: "1.2.3.4:6"},
		}))
	})
})
