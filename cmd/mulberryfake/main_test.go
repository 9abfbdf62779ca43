package main

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

func TestMulberryFake(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mulberryfake")
}

var _ = Describe("parseEntryHosts", func() {
	It("parses a list, so that the host list contains every entry host", func() {
		got, err := parseEntryHosts("teku-0=127.0.0.1:9000:teku:0,teku-1=127.0.0.1:9001:teku:1")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal([]platform.EntryHost{
			{ID: "teku-0", Addr: "127.0.0.1:9000", Domain: "teku", Slot: 0},
			{ID: "teku-1", Addr: "127.0.0.1:9001", Domain: "teku", Slot: 1},
		}))
	})

	DescribeTable("rejects a malformed entry instead of listing a wrong host", func(list string) {
		_, err := parseEntryHosts(list)
		Expect(err).To(HaveOccurred())
	},
		Entry("no id", "127.0.0.1:9000:teku:0"),
		Entry("no slot", "teku-0=127.0.0.1:9000:teku"),
		Entry("slot is not a number", "teku-0=127.0.0.1:9000:teku:x"),
	)
})
