package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
)

// configValue is a versioned value in the configuration service.
type configValue struct {
	body    []byte
	version uint64
}

// snapshot is the content of the configuration service at a point in time.
type snapshot map[string]configValue

// chunkInfo describes a chunk in a manifest.
type chunkInfo struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

// manifest describes a published generation.
type manifest struct {
	Revision ident.Revision `json:"revision"`
	Chunks   []chunkInfo    `json:"chunks"`
}

// Publish writes a generation: first the chunks, then the manifest. Generations
// reuse the chunk names, so a reader can encounter replaced chunks.
func (p *Platform) Publish(revision ident.Revision, text string) {
	p.PublishChunks(revision, text)
	p.PublishManifest(revision, text)
}

// PublishChunks writes only the chunks of a generation, like an interrupted
// publication.
func (p *Platform) PublishChunks(revision ident.Revision, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.chunks(text) {
		p.putLocked(c.info.Name, c.body)
	}
	p.notifyLocked()
}

// PublishManifest writes the manifest of a generation, which makes it current.
func (p *Platform) PublishManifest(revision ident.Revision, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := manifest{Revision: revision}
	for _, c := range p.chunks(text) {
		m.Chunks = append(m.Chunks, c.info)
	}
	body, _ := json.Marshal(m)
	p.putLocked("manifest", body)
	p.history = append(p.history, clone(p.values))
	p.log.Add(record.Record{Kind: record.Published, Server: "platform", Revision: revision})
	p.notifyLocked()
}

type chunkBody struct {
	info chunkInfo
	body []byte
}

func (p *Platform) chunks(text string) []chunkBody {
	var out []chunkBody
	for i := 0; i == 0 || i*p.chunkSize < len(text); i++ {
		body := []byte(text[i*p.chunkSize : min((i+1)*p.chunkSize, len(text))])
		sum := sha256.Sum256(body)
		name := fmt.Sprintf("rules-%d", i)
		info := chunkInfo{Name: name, SHA256: hex.EncodeToString(sum[:]), Bytes: len(body)}
		out = append(out, chunkBody{info: info, body: body})
	}
	return out
}

func (p *Platform) putLocked(name string, body []byte) {
	p.version++
	p.values[name] = configValue{body: body, version: p.version}
}

func clone(s snapshot) snapshot {
	out := snapshot{}
	for name, v := range s {
		out[name] = v
	}
	return out
}

// Freeze makes the service keep serving the current values, whatever is published,
// until Unfreeze is called.
func (p *Platform) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = clone(p.values)
}

// Unfreeze makes the service serve the newest values again. It ends the effect of
// Freeze and of RollBack.
func (p *Platform) Unfreeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	p.notifyLocked()
}

// RollBack makes the service serve the values of n publications ago, with their
// versions at that time, until Unfreeze is called.
func (p *Platform) RollBack(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.history) - 1 - n
	if i < 0 {
		p.frozen = snapshot{}
	} else {
		p.frozen = p.history[i]
	}
	p.notifyLocked()
}

func (p *Platform) handleConfig(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, until := p.beginCall(r)
	defer p.endCall()
	v, ok := awaitChange(p, r, until, func() (configValue, bool) {
		v := p.currentLocked()[name]
		return v, v.version > after || until.IsZero() && v.version > 0
	})
	switch {
	case r.Context().Err() != nil:
	case !ok && until.IsZero():
		writeError(w, http.StatusNotFound, "not_found", "no value "+name)
	case !ok:
		w.WriteHeader(http.StatusNotModified)
	default:
		p.log.Add(record.Record{Kind: record.Read, Server: "platform", Reason: name})
		w.Header().Set("X-Version", strconv.FormatUint(v.version, 10))
		_, _ = w.Write(v.body)
	}
}

// currentLocked returns the values that the service serves.
func (p *Platform) currentLocked() snapshot {
	if p.frozen != nil {
		return p.frozen
	}
	return p.values
}

// beginCall counts a call and parses its watch parameters. until is zero for a plain
// read.
func (p *Platform) beginCall(r *http.Request) (after uint64, until time.Time) {
	q := r.URL.Query()
	after, _ = strconv.ParseUint(q.Get("after"), 10, 64)
	if wait, err := strconv.ParseFloat(q.Get("wait"), 64); err == nil && wait > 0 {
		until = time.Now().Add(time.Duration(wait * float64(time.Second)))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.count(time.Now())
	if !until.IsZero() {
		p.calls.Watches++
	}
	return after, until
}

func (p *Platform) endCall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Pending--
}
