package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

// Admin returns an HTTP handler that controls the deployment:
//
//	GET  /fake/events?after=N                  records as JSON
//	GET  /fake/status                          addresses, calls, held memory
//	POST /fake/rules?revision=N                publish the body
//	POST /fake/hosts                           JSON list of entry hosts
//	POST /fake/leaving?id=ID&on=true           mark a host as leaving
//	POST /fake/remove?id=ID                    remove a host from the list
//	POST /fake/backend?id=ID&do=crash|restart  crash or restart a backend server
//	POST /fake/faults?id=ID                    JSON Faults of a backend server
//	POST /fake/note                            JSON Record from the test harness, such as a host's stop
//	POST /fake/platform?do=down|up|silent|loud|freeze|thaw|back&n=N
//
// loud ends silent. back serves the values of N publications ago. thaw ends freeze and
// back.
func (d *Deployment) Admin() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /fake/events", d.Log)
	mux.HandleFunc("GET /fake/status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Status()) })
	for path, f := range map[string]func(*http.Request) error{
		"rules":    d.adminRules,
		"hosts":    d.adminHosts,
		"leaving":  d.adminLeaving,
		"remove":   d.adminRemove,
		"backend":  d.adminBackend,
		"faults":   d.adminFaults,
		"note":     d.adminNote,
		"platform": d.adminPlatform,
	} {
		mux.HandleFunc("POST /fake/"+path, func(w http.ResponseWriter, r *http.Request) {
			if err := f(r); err != nil {
				writeError(w, http.StatusBadRequest, "bad_request", err.Error())
				return
			}
			w.WriteHeader(http.StatusNoContent)
		})
	}
	return mux
}

// Status is the state of a running deployment.
type Status struct {
	Deployment string            `json:"deployment"`
	Platform   string            `json:"platform"` // address
	Admin      string            `json:"admin,omitempty"`
	Hosts      platform.HostList `json:"hosts"`
	Calls      Calls             `json:"calls"`
	Held       int               `json:"held"`
}

// Status returns the state of the deployment.
func (d *Deployment) Status() Status {
	return Status{
		Deployment: d.Plan.Name,
		Platform:   d.Platform.Addr(),
		Hosts:      d.Platform.Hosts(),
		Calls:      d.Platform.Calls(),
		Held:       d.Held(),
	}
}

func (d *Deployment) adminRules(r *http.Request) error {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		return fmt.Errorf("revision: %w", err)
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return err
	}
	d.Platform.Publish(ident.Revision(revision), string(text))
	return nil
}

func (d *Deployment) adminHosts(r *http.Request) error {
	var hosts []platform.EntryHost
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		return err
	}
	d.Platform.SetHosts(hosts, d.Platform.Hosts().Backends)
	return nil
}

// adminLeaving marks a host as leaving in the host list only. A backend server keeps
// accepting work, so that the records show what the router still sends to it.
func (d *Deployment) adminLeaving(r *http.Request) error {
	q := r.URL.Query()
	d.Platform.SetLeaving(q.Get("id"), q.Get("on") != "false")
	return nil
}

func (d *Deployment) adminRemove(r *http.Request) error {
	d.Platform.Remove(r.URL.Query().Get("id"))
	return nil
}

func (d *Deployment) adminBackend(r *http.Request) error {
	q := r.URL.Query()
	b, err := d.Backend(q.Get("id"))
	if err != nil {
		return err
	}
	switch q.Get("do") {
	case "crash":
		b.Crash()
		return nil
	case "restart":
		return b.Restart()
	}
	return errUnknownAction
}

var errUnknownAction = errors.New("unknown action")

func (d *Deployment) adminFaults(r *http.Request) error {
	b, err := d.Backend(r.URL.Query().Get("id"))
	if err != nil {
		return err
	}
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		return err
	}
	b.SetFaults(f)
	return nil
}

// adminNote adds a record of an event that only the test harness knows to the log.
func (d *Deployment) adminNote(r *http.Request) error {
	var x record.Record
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		return err
	}
	d.Log.Add(x)
	return nil
}

func (d *Deployment) adminPlatform(r *http.Request) error {
	q := r.URL.Query()
	p := d.Platform
	switch q.Get("do") {
	case "down":
		p.Down()
	case "up":
		return p.Up()
	case "silent":
		p.SetSilent(true)
	case "loud":
		p.SetSilent(false)
	case "freeze":
		p.Freeze()
	case "thaw":
		p.Unfreeze()
	case "back":
		n, _ := strconv.Atoi(q.Get("n"))
		p.RollBack(n)
	default:
		return errUnknownAction
	}
	return nil
}
