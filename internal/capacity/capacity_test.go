package capacity_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/internal/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("Cluster", func() {
	It("serves requests on all hosts, so that the measurement covers real work", func() {
		s := capacity.TargetDomain().WithHosts(8)
		s.Domains, s.Organisations, s.Rate = 3, 10, 5
		c := capacity.NewCluster(s, 1)
		c.Quiet(true)
		c.Run(40 * time.Second) // quarantine, then the buckets fill
		Expect(c.Ready()).To(Equal(8))
		c.Quiet(false)
		c.Meter.Reset()
		c.Run(20 * time.Second)
		u := c.Usage(20 * time.Second)
		Expect(u.Completed).To(BeNumerically(">", 300))
		Expect(u.Refused).To(BeNumerically("<", u.Completed/20), "%v", c.Meter.Refusals())
		c.Publish()
		c.Run(6 * time.Second)
		Expect(c.InForce()).To(Equal(8), "a configuration change must be in force within 6 s")
	})
})

var _ = Describe("MeasureList", func() {
	It("includes the decoded list in the reported heap", func() {
		c, err := capacity.MeasureList(170, 1200)
		Expect(err).NotTo(HaveOccurred())
		GinkgoWriter.Println(c)
		Expect(c.Heap).To(BeNumerically(">", c.Wire))
	})
})

var _ = Describe("Fit", func() {
	It("finds the line through collinear points", func() {
		l := capacity.Fit([]float64{8, 30, 90}, []float64{26, 70, 190})
		Expect(l.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(l.Intercept).To(BeNumerically("~", 10, 1e-9))
		Expect(l.Residual).To(BeNumerically("~", 0, 1e-9))
	})

	It("reports a large residual for points that are not collinear", func() {
		Expect(capacity.Fit([]float64{1, 2, 3}, []float64{1, 5, 1}).Residual).To(BeNumerically(">", 0.3))
	})
})
