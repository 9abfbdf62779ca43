package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const (
	teku   ident.FailureDomain = "teku"
	balaju ident.FailureDomain = "balaju"
	model  ident.Model         = "inspect-lm"
)

var epoch = time.Unix(1_800_000_000, 0)

// host returns the n-th host of a domain.
func host(d ident.FailureDomain, n int) ident.Process {
	return ident.Process{Host: ident.HostID(fmt.Sprintf("%s-%d", d, n)), Incarnation: 1}
}

// backend describes an engine of the test model.
func backend(d ident.FailureDomain, role engine.Role, n int, v ident.Version) engine.Info {
	return engine.Info{
		ID:      ident.BackendID(fmt.Sprintf("%s-%s-%d", d, role, n)),
		Domain:  d,
		Role:    role,
		Model:   model,
		Version: v,
		Group:   "batch-" + string(v),
		Slots:   20,
	}
}

// request returns the n-th request of a host. With the default costs its prefill
// takes 100 ms.
func request(p ident.Process, n uint64) placement.Request {
	return placement.Request{
		Ref:          ident.BackendRef{Request: ident.NewRequestID(p, n), Attempt: 1},
		Organisation: "org",
		Weight:       1,
		Model:        model,
		PromptTokens: 4000,
		MaxTokens:    300,
	}
}
