package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/ruleset"
)

// manifestName is the configuration value that readers of the rules watch.
const manifestName = "manifest"

type splitCommand struct {
	File     string `arg:"positional,required" help:"rules file"`
	Revision uint64 `arg:"--revision,required" help:"revision, higher than the one in force"`
	Out      string `arg:"--out,required" help:"directory for the files; created if it does not exist"`
	MaxBytes int    `arg:"--max-bytes" default:"1000000" help:"largest chunk in bytes, at most 1000000"`
}

func (c *splitCommand) run(_ context.Context, s *session) error {
	if c.Revision == 0 || c.MaxBytes < 1 || c.MaxBytes > ruleset.MaxValueBytes {
		return usageError{fmt.Errorf("split: want --revision of 1 or more and --max-bytes from 1 to %d",
			ruleset.MaxValueBytes)}
	}
	_, text, err := readRules(c.File)
	if err != nil {
		return err
	}
	if err := c.checkRevision(); err != nil {
		return err
	}
	m, chunks := ruleset.Split(ident.Revision(c.Revision), text, c.MaxBytes)
	if err := c.write(m, chunks); err != nil {
		return fmt.Errorf("split: %w", err)
	}
	return s.print(m, fmt.Sprintf("revision %d: %d bytes in %d chunks in %s; publish the chunks first, then %s\n",
		m.Revision, len(text), len(chunks), c.Out, manifestName))
}

// checkRevision returns an error if the revision is not higher than that of the
// manifest in the output directory, since entry hosts would ignore it.
func (c *splitCommand) checkRevision() error {
	old, err := os.ReadFile(filepath.Join(c.Out, manifestName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("split: read previous manifest: %w", err)
	}
	var m ruleset.Manifest
	if err := json.Unmarshal(old, &m); err != nil {
		return fmt.Errorf("split: decode previous manifest: %w", err)
	}
	if m.Revision >= ident.Revision(c.Revision) {
		return fmt.Errorf("split: %s has revision %d; choose a higher one than that", c.Out, m.Revision)
	}
	return nil
}

// write writes the chunks first and then replaces the manifest by a rename, so
// that the manifest never names a missing chunk.
func (c *splitCommand) write(m ruleset.Manifest, chunks [][]byte) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	for i, chunk := range m.Chunks {
		if err := os.WriteFile(filepath.Join(c.Out, chunk.Name), chunks[i], 0o644); err != nil {
			return err
		}
	}
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	name := filepath.Join(c.Out, manifestName)
	if err := os.WriteFile(name+".new", body, 0o644); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}
