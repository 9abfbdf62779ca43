package keyring_test

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// BenchmarkVerify measures a valid key, a wrong secret and an unknown id, whose
// verification times a caller must not be able to distinguish.
func BenchmarkVerify(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		var text strings.Builder
		text.WriteString("domain d slots 1 # t\norganisation o rate 1 burst 1 weight 1 prefer wait # t\n")
		salt := []byte("0123456789abcdef")
		sum := keyring.Hash(salt, "secret")
		for i := range n {
			fmt.Fprintf(&text, "key k%d organisation o salt %s hash %s # t\n",
				i, hex.EncodeToString(salt), hex.EncodeToString(sum[:]))
		}
		r, err := ruleset.Parse([]byte(text.String()))
		if err != nil {
			b.Fatal(err)
		}
		cases := [][2]string{{"valid", "k7.secret"}, {"wrong", "k7.secreT"}, {"unknown", "x7.secret"}}
		for _, c := range cases {
			b.Run(fmt.Sprintf("keys=%d/%s", n, c[0]), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					_, _ = keyring.Verify(r, c[1])
				}
			})
		}
	}
}
