package relayhost

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/mulberrystream/mulberrystream/pkg/backends"
	"github.com/mulberrystream/mulberrystream/pkg/follow"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/origin"
	"github.com/mulberrystream/mulberrystream/pkg/serverlimit"
)

// entryDecoder decodes entries that are written as JSON of their type.
type entryDecoder struct{ Decoder }

func (entryDecoder) EntryID(key string) (ident.BackendID, bool) {
	id, ok := strings.CutPrefix(key, "servers/")
	return ident.BackendID(id), ok
}

func (d entryDecoder) Entry(key string, value []byte) (e backends.Entry, ok bool, err error) {
	if _, ok := d.EntryID(key); !ok {
		return e, false, nil
	}
	err = json.Unmarshal(value, &e)
	return e, err == nil, err
}

const (
	testRetention = 20 * time.Second
	testLapse     = 4 * time.Second
	// longAge is the age of a process that started before the history, with all allowances.
	longAge = time.Minute
)

var testNow = time.Unix(1_000_000, 0)

// startOf returns the start of a process of an age.
func startOf(age time.Duration) int64 { return testNow.Add(-age).UnixMilli() }

// put is a write of the entry of an engine.
func put(id string, revision, created uint64, stage backends.Stage, version ident.Version, age time.Duration) follow.Item {
	value, err := json.Marshal(backends.Entry{ID: ident.BackendID(id), Service: "lm", Stage: stage, Version: version, StartedAt: startOf(age)})
	if err != nil {
		panic(err)
	}
	return follow.Item{Key: "servers/" + id, Value: value, Revision: revision, Created: created}
}

func remove(id string, revision uint64) follow.Item {
	return follow.Item{Key: "servers/" + id, Revision: revision, Removed: true}
}

func serving(id string, version ident.Version, age time.Duration) origin.Serving {
	return origin.Serving{Service: "lm", Version: version, Process: serverlimit.Process{ID: ident.BackendID(id), StartedAt: startOf(age)}}
}

func TestPastList(t *testing.T) {
	const (
		decode  = backends.Decode
		prefill = backends.Prefill
	)
	odd := follow.Item{Key: "servers/x", Value: []byte("{"), Revision: 21, Created: 21}
	tests := []struct {
		name    string
		history follow.History
		current []follow.Item
		servers []origin.Serving
		reach   time.Duration
		err     error
	}{
		{"no changes", follow.History{After: 20}, []follow.Item{put("a", 9, 9, decode, "v1", longAge)}, nil, testRetention, nil},
		{"no changes since the store was created", follow.History{Whole: true}, nil, nil, wholeReach, nil},
		{
			"server that was added",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 21, decode, "v2", 5*time.Second)}}, nil,
			[]origin.Serving{serving("a", "v2", 5*time.Second)}, testRetention, nil,
		},
		{
			"server that was added and removed",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 21, decode, "v2", 9*time.Second), remove("a", 22)}}, nil,
			[]origin.Serving{serving("a", "v2", 9*time.Second)}, testRetention, nil,
		},
		{
			"server that announced its removal",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 3, decode, "v1", longAge), remove("a", 22)}}, nil,
			[]origin.Serving{serving("a", "v1", longAge)}, testRetention, nil,
		},
		// Guards against a version that is missing from the history because its last server
		// crashed, or left without an announcement.
		{
			"server that was removed and whose version is unknown",
			follow.History{After: 20, Items: []follow.Item{put("b", 21, 21, decode, "v2", 5*time.Second), remove("a", 22)}}, nil, nil, 0, errUnseen,
		},
		{
			"server that was removed, in a whole history",
			follow.History{Whole: true, Items: []follow.Item{put("a", 2, 2, decode, "v1", 5*time.Second), remove("a", 3)}}, nil,
			[]origin.Serving{serving("a", "v1", 5*time.Second)}, wholeReach, nil,
		},
		// Guards against a version that is missing from the history because its server started
		// again under the same id with another one.
		{
			"process whose predecessor's entry is unknown",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 3, decode, "v2", testRetention)}}, nil, nil, 0, errUnseen,
		},
		{
			"two processes under one id",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 21, decode, "v1", 9*time.Second), put("a", 22, 21, decode, "v2", 2*time.Second)}}, nil,
			[]origin.Serving{serving("a", "v1", 9*time.Second), serving("a", "v2", 2*time.Second)}, testRetention, nil,
		},
		{
			"entry that cannot be read and replaces another one",
			follow.History{After: 20, Items: []follow.Item{{Key: "servers/a", Value: []byte("{"), Revision: 21, Created: 3}}}, nil, nil, 0, errUnseen,
		},
		{"entry that cannot be read", follow.History{After: 20, Items: []follow.Item{odd, remove("x", 22)}}, nil, nil, testRetention, nil},
		{
			"store that does not tell when an entry was created",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 0, decode, "v2", 5*time.Second)}}, nil, nil, 0, errUnseen,
		},
		{
			"prefill engine",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 21, prefill, "v2", 5*time.Second)}}, nil, nil, testRetention, nil,
		},
		{
			"prefill engine that may have been a decode engine",
			follow.History{After: 20, Items: []follow.Item{put("a", 21, 3, prefill, "v2", longAge)}}, nil,
			[]origin.Serving{serving("a", "v2", longAge)}, testRetention, nil,
		},
		{"other key", follow.History{After: 20, Items: []follow.Item{{Key: "op/config", Revision: 21, Created: 2}}}, nil, nil, testRetention, nil},
		// Guards against a history that is short because the store has dropped changes early.
		{
			"listed server that started within the retention and whose first write is gone",
			follow.History{After: 20}, []follow.Item{put("a", 19, 19, decode, "v2", testRetention-time.Second)}, nil, 0, errDropped,
		},
		{
			"listed server of unknown start whose first write is gone",
			follow.History{After: 20}, []follow.Item{put("a", 19, 19, decode, "v2", testNow.Sub(time.UnixMilli(0)))}, nil, 0, errDropped,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			p := pastList{decoder: entryDecoder{}, now: testNow, retention: testRetention, lapse: testLapse, history: test.history, current: test.current}
			reach, servers, err := p.servers()
			if test.err != nil {
				g.Expect(err).To(gomega.MatchError(test.err))
			} else {
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			g.Expect(reach).To(gomega.Equal(test.reach))
			g.Expect(servers).To(gomega.Equal(test.servers))
		})
	}
	t.Run("unknown retention", func(t *testing.T) {
		p := pastList{decoder: entryDecoder{}, now: testNow, lapse: testLapse, history: follow.History{After: 20}}
		_, _, err := p.servers()
		gomega.NewWithT(t).Expect(err).To(gomega.MatchError(errNoRetention))
	})
}
