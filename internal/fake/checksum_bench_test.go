package fake_test

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// BenchmarkChecksum measures the cost of verifying a KV cache at its destination,
// by cache size, compared with copying the memory once.
func BenchmarkChecksum(b *testing.B) {
	for _, megabytes := range []int{1, 10, 100} {
		cache := make([]byte, megabytes<<20)
		for i := range cache {
			cache[i] = byte(i)
		}
		target := make([]byte, len(cache))
		b.Run(fmt.Sprintf("copy/%dMB", megabytes), func(b *testing.B) {
			b.SetBytes(int64(len(cache)))
			for b.Loop() {
				copy(target, cache)
			}
		})
		b.Run(fmt.Sprintf("xxhash/%dMB", megabytes), func(b *testing.B) {
			b.SetBytes(int64(len(cache)))
			for b.Loop() {
				xxhash.Sum64(cache)
			}
		})
	}
}
