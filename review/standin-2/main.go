//go:build review

// Command standin-2 plays the cases of review 2 that are scripts: it starts a small deployment
// of mulberryrelay with stand-ins of the store, the replicas and the clients, and judges what
// they have seen.
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

const (
	held = iota
	broken
	notRun
)

// scene is what a case needs besides its deployment.
type scene struct {
	*deployment
	record  *record
	trouble bool
}

// cases are the cases by the number of their folder.
var cases = map[string]func(*scene) (verdict, error){
	"6": lateHandle,
	"8": failedAnswer,
	"9": movedStream,
}

// verdict is the result of a case.
type verdict struct {
	breaks  int
	summary string
}

func main() {
	name := flag.String("case", "", "number of the case")
	out := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(play(*name, *out, *trouble))
}

func play(name, out string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintf(os.Stderr, "standin-2: no case %q\n", name)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d, err := newDeployment(dir, 4)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer d.close()
	s := &scene{deployment: d, record: newRecord(), trouble: trouble}
	v, err := run(s)
	s.record.add("%s", v.summary)
	if werr := s.record.write(out); werr != nil {
		err = werr
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	fmt.Println(v.summary)
	if v.breaks > 0 {
		return broken
	}
	return held
}

// record is what was sent, answered and run.
type record struct {
	begin time.Time
	mu    sync.Mutex
	lines []line
}

type line struct {
	at   time.Time
	text string
}

func newRecord() *record { return &record{begin: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Now(), fmt.Sprintf(format, args...)})
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	for _, l := range r.lines {
		if _, err := fmt.Fprintf(f, "%8.3f s  %s\n", l.at.Sub(r.begin).Seconds(), l.text); err != nil {
			return err
		}
	}
	return f.Close()
}
