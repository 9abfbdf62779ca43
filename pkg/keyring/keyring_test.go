package keyring_test

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

func TestKeyring(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keyring")
}

func rulesWith(id ident.KeyID, salt []byte, hash [32]byte) *ruleset.Rules {
	text := fmt.Sprintf("domain teku slots 1 # test\n"+
		"organisation clip-hire rate 1 burst 1 weight 1 prefer wait # test\n"+
		"key %s organisation clip-hire salt %s hash %s # test\n",
		id, hex.EncodeToString(salt), hex.EncodeToString(hash[:]))
	r, err := ruleset.Parse([]byte(text))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("Verify", func() {
	random := bytes.NewReader(bytes.Repeat([]byte("0123456789abcdef"), 3))
	presented, salt, hash, err := keyring.Generate(random, "counter-1")

	It("accepts a generated key, so that issued keys work", func() {
		Expect(err).NotTo(HaveOccurred())
		key, err := keyring.Verify(rulesWith("counter-1", salt, hash), presented)
		Expect(err).NotTo(HaveOccurred())
		Expect(key.ID).To(Equal(ident.KeyID("counter-1")))
		Expect(key.Organisation).To(Equal(ident.Organisation("clip-hire")))
	})

	DescribeTable("rejects invalid keys, with the same error for an unknown id and a wrong secret",
		func(presented string, want error) {
			key, err := keyring.Verify(rulesWith("counter-1", salt, hash), presented)
			Expect(err).To(Equal(want))
			Expect(key).To(BeZero())
		},
		Entry("nothing", "", keyring.ErrMissing),
		Entry("no secret", "counter-1", keyring.ErrMalformed),
		Entry("empty secret", "counter-1.", keyring.ErrMalformed),
		Entry("empty id", ".secret", keyring.ErrMalformed),
		Entry("blank in secret", "counter-1.a b", keyring.ErrMalformed),
		Entry("too long", "counter-1."+strings.Repeat("a", 600), keyring.ErrMalformed),
		Entry("wrong secret", "counter-1.secret", keyring.ErrUnknown),
		Entry("unknown id", "counter-2.secret", keyring.ErrUnknown),
		Entry("secret of another id", "counter-2"+strings.TrimPrefix(presented, "counter-1"), keyring.ErrUnknown),
	)

	It("reports a short random source or an invalid id instead of generating a weak key", func() {
		_, _, _, err := keyring.Generate(strings.NewReader("short"), "counter-1")
		Expect(err).To(MatchError(ContainSubstring("read random bytes")))
		_, _, _, err = keyring.Generate(strings.NewReader(""), "a.b")
		Expect(err).To(MatchError(ContainSubstring("a.b")))
	})
})

// TestExampleKeys guards against example keys whose documented secret is wrong.
func TestExampleKeys(t *testing.T) {
	for _, file := range []string{"bagmati", "adwenpa"} {
		text, err := os.ReadFile("../../examples/" + file + ".rules")
		if err != nil {
			t.Fatal(err)
		}
		r, err := ruleset.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		for _, k := range r.Keys() {
			if _, err := keyring.Verify(r, string(k.ID)+".demo-secret-"+string(k.ID)); err != nil {
				t.Errorf("%s: key %s: %v", file, k.ID, err)
			}
		}
	}
}

// FuzzSplit guards against a presented key that makes the host panic, or whose parts
// differ from what the caller sent.
func FuzzSplit(f *testing.F) {
	f.Add("counter-1.secret")
	f.Fuzz(func(t *testing.T, presented string) {
		id, secret, err := keyring.Split(presented)
		if err == nil && string(id)+"."+secret != presented {
			t.Fatalf("parts %q and %q of %q", id, secret, presented)
		}
		if err == nil && !ruleset.ValidKeyID(string(id)) {
			t.Fatalf("id %q is not valid in a rule", id)
		}
		if err != nil && (id != "" || secret != "") {
			t.Fatalf("id or secret returned with error %v", err)
		}
	})
}
