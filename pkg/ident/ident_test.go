package ident_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

func TestIdent(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ident")
}

var _ = Describe("RequestID", func() {
	It("contains its owner, so that orphaned requests can be recognised", func() {
		p := ident.Process{Host: "teku-0", Incarnation: 42}
		owner, err := ident.NewRequestID(p, 7).Owner()
		Expect(err).NotTo(HaveOccurred())
		Expect(owner).To(Equal(p))
	})

	DescribeTable("rejects an id without a valid owner",
		func(id string) {
			_, err := ident.RequestID(id).Owner()
			Expect(err).To(HaveOccurred())
		},
		Entry("empty", ""),
		Entry("no host", "@1#2"),
		Entry("no number", "teku-0@1"),
		Entry("bad incarnation", "teku-0@x#2"),
	)
})

var _ = Describe("Rank", func() {
	hosts := []ident.HostID{"a", "b", "c", "d"}

	It("does not depend on the order of the host list", func() {
		reversed := []ident.HostID{"d", "c", "b", "a"}
		Expect(ident.Rank("k", reversed)).To(Equal(ident.Rank("k", hosts)))
		Expect(ident.Owner("k", reversed)).To(Equal(ident.Rank("k", hosts)[0]))
	})

	It("moves only the keys of the host that left", func() {
		for i := range 200 {
			key := fmt.Sprint("key-", i)
			before := ident.Owner(key, hosts)
			after := ident.Owner(key, hosts[:3])
			if before != "d" {
				Expect(after).To(Equal(before))
			}
		}
	})

	It("distributes keys evenly, so that no host owns most pools", func() {
		counts := map[ident.HostID]int{}
		for i := range 4000 {
			counts[ident.Owner(fmt.Sprint("key-", i), hosts)]++
		}
		for _, h := range hosts {
			Expect(counts[h]).To(BeNumerically(">", 800))
		}
	})
})
