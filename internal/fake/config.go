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

// configValue is one value of the configuration service.
type configValue struct {
	body    []byte
	version uint64
}

// snapshot is the content of the configuration service at one time.
type snapshot map[string]configValue

// chunkInfo and manifest are the published form of a generation.
type chunkInfo struct {
	Name   string `json:"name"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

type manifest struct {
	Revision ident.Revision `json:"revision"`
	Chunks   []chunkInfo    `json:"chunks"`
}

// Publish writes a generation: chunks first, the manifest last. Chunk names are
// used again by the next generation, so that a reader can meet replaced chunks.
func (p *Platform) Publish(revision ident.Revision, text string) {
	p.PublishChunks(revision, text)
	p.PublishManifest(revision, text)
}

// PublishChunks writes only the chunks of a generation, as a publication does
// that has not come to its end.
func (p *Platform) PublishChunks(revision ident.Revision, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.chunks(text) {
		p.putLocked(c.info.Name, c.body)
	}
	p.wakeLocked()
}

// PublishManifest writes the manifest of a generation and makes it current.
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
	p.wakeLocked()
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

// Freeze makes the service serve what it has now, whatever is published; Thaw
// ends it.
func (p *Platform) Freeze() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = clone(p.values)
}

// Thaw serves the current values again.
func (p *Platform) Thaw() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	p.wakeLocked()
}

// GoBack makes the service serve the values of n publications ago, with the
// versions they had.
func (p *Platform) GoBack(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := len(p.history) - 1 - n
	if i < 0 {
		p.frozen = snapshot{}
	} else {
		p.frozen = p.history[i]
	}
	p.wakeLocked()
}

func (p *Platform) handleConfig(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, until := p.begin(r)
	defer p.end()
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

// currentLocked returns the values that the service shows.
func (p *Platform) currentLocked() snapshot {
	if p.frozen != nil {
		return p.frozen
	}
	return p.values
}

// begin counts a call and reads the watch parameters; until is zero for a read.
func (p *Platform) begin(r *http.Request) (after uint64, until time.Time) {
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

func (p *Platform) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Pending--
}
