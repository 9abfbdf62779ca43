package ruleset_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// fleet returns a rules text with 410 organisations, 37 models and n keys.
func fleet(n int) []byte {
	var b strings.Builder
	for i := range 19 {
		fmt.Fprintf(&b, "domain d%d slots 90 # t\n", i)
	}
	for i := range 37 {
		fmt.Fprintf(&b, "model m%d versions v2,v1 # t\n", i)
	}
	for i := range 410 {
		fmt.Fprintf(&b, "organisation o%d rate 30000 burst 90000 weight 1 prefer wait # t\n", i)
		fmt.Fprintf(&b, "allow o%d m%d # t\n", i, i%37)
	}
	for i := range n {
		salt := sha256.Sum256(fmt.Append(nil, i))
		sum := sha256.Sum256(append(salt[:16:16], "secret"...))
		fmt.Fprintf(&b, "key k%d organisation o%d salt %s hash %s # t\n",
			i, i%410, hex.EncodeToString(salt[:16]), hex.EncodeToString(sum[:]))
	}
	b.WriteString("recall version m0 v1 # t\nroute /desk service desk once keyed # t\n")
	return []byte(b.String())
}

func forKeyCounts(b *testing.B, run func(b *testing.B, r *ruleset.Rules, n int)) {
	for _, n := range []int{100, 1_000, 10_000} {
		r, err := ruleset.Parse(fleet(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, r, n)
		})
	}
}

func BenchmarkKey(b *testing.B) {
	forKeyCounts(b, func(b *testing.B, r *ruleset.Rules, n int) {
		id := ident.KeyID(fmt.Sprintf("k%d", n/2))
		for b.Loop() {
			if _, ok := r.Key(id); !ok {
				b.Fatal("key is missing")
			}
		}
	})
}

// BenchmarkRequest measures the lookups that one request needs.
func BenchmarkRequest(b *testing.B) {
	forKeyCounts(b, func(b *testing.B, r *ruleset.Rules, n int) {
		id := ident.KeyID(fmt.Sprintf("k%d", n/2))
		for b.Loop() {
			k, _ := r.Key(id)
			r.Organisation(k.Organisation)
			r.Allowed(k.Organisation, "m3")
			r.Recalled("m3", "v2", "", "batch-a")
			r.Route("/desk/book/7")
		}
	})
}

func BenchmarkParse(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		text := fleet(n)
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(text)))
			for b.Loop() {
				if _, err := ruleset.Parse(text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
