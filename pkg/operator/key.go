package operator

import (
	"context"
	"fmt"
	"strings"
	"unicode"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/keyring"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

type keyCommand struct {
	New *newKeyCommand `arg:"subcommand:new" help:"create a key and print it once with its rule"`
}

// run is called only if no subcommand of key is given.
func (*keyCommand) run(context.Context, *session) error {
	return usageError{fmt.Errorf("key: want `key new ID ORGANISATION`")}
}

type newKeyCommand struct {
	ID           string `arg:"positional,required" help:"key id, the public part of the key"`
	Organisation string `arg:"positional,required" help:"organisation that the key is for"`
	Requester    string `arg:"--requester" help:"who requested the key; the comment of the rule, without which the rule is not valid"`
}

type newKeyReport struct {
	Key  string `json:"key"`
	Rule string `json:"rule"`
}

func (c *newKeyCommand) run(_ context.Context, s *session) error {
	if !ruleset.ValidKeyID(c.ID) {
		return usageError{fmt.Errorf("key id %q: want %s", c.ID, ruleset.KeyIDForm)}
	}
	if !ruleset.ValidName(c.Organisation) {
		return usageError{fmt.Errorf("organisation %q: want %s", c.Organisation, ruleset.NameForm)}
	}
	if strings.ContainsFunc(c.Requester, unicode.IsControl) {
		return usageError{fmt.Errorf("requester %q: want one line of text", c.Requester)}
	}
	presented, salt, hash, err := keyring.Generate(s.Rand, ident.KeyID(c.ID))
	if err != nil {
		return err
	}
	key := ruleset.Key{
		ID: ident.KeyID(c.ID), Organisation: ident.Organisation(c.Organisation),
		Salt: string(salt), Hash: hash,
	}
	rule := strings.TrimSpace(key.String() + " # " + strings.TrimSpace(c.Requester))
	text := fmt.Sprintf("key, for the caller only, not stored anywhere:\n%s\nrule, for the rules file:\n%s\n",
		presented, rule)
	return s.print(newKeyReport{Key: presented, Rule: rule}, text)
}
