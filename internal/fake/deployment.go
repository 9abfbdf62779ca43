package fake

import (
	"errors"
	"fmt"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/record"
	"github.com/mulberrystream/mulberrystream/pkg/engine"
	"github.com/mulberrystream/mulberrystream/pkg/ident"
	"github.com/mulberrystream/mulberrystream/pkg/platform"
)

// Plan describes a deployment by its failure domains and the servers in each. Names,
// versions and groups match the files in examples/.
type Plan struct {
	Name     string
	Domains  []ident.FailureDomain
	Model    ident.Model
	Version  ident.Version
	Group    string // prefix of the batch names, which end in -a and -b
	Prefills int    // per domain
	Decodes  int    // per domain
	Service  ident.Model
	Services int // per domain
}

// BagmatiPlan returns a plan with 12 engines of inspect-lm, 4 prefill and 8 decode,
// and 4 replicas of counter-app in 4 failure domains.
func BagmatiPlan() Plan {
	return Plan{
		Name:     "bagmati",
		Domains:  []ident.FailureDomain{"teku", "balaju", "thimi", "patan"},
		Model:    "inspect-lm",
		Version:  "v7",
		Group:    "inspect",
		Prefills: 1,
		Decodes:  2,
		Service:  "counter-app",
		Services: 1,
	}
}

// AdwenpaPlan returns a plan with 12 engines of mulberry-lm, 6 prefill and 6 decode
// because its prompts are long and its answers short, and 3 replicas of refill-desk in 3
// failure domains.
func AdwenpaPlan() Plan {
	return Plan{
		Name:     "adwenpa",
		Domains:  []ident.FailureDomain{"accra-a", "accra-b", "accra-c"},
		Model:    "mulberry-lm",
		Version:  "v3",
		Group:    "mulberry",
		Prefills: 2,
		Decodes:  2,
		Service:  "refill-desk",
		Services: 1,
	}
}

// Options configures a deployment.
type Options struct {
	Timing      *Timing // DefaultTiming if nil
	Seed        uint64
	HostListLag time.Duration
	ChunkSize   int
	IgnoreFence bool // all engines accept orders with a stale fencing token, not only batch b
	EntryHosts  []platform.EntryHost
	Rules       string // published as revision 1, unless empty
}

// Backend is a fake backend server.
type Backend interface {
	Info() engine.Info
	SetFaults(f Faults)
	SetLeaving(leaving bool)
	Crash()
	Restart() error
	Close()
}

// Deployment is a platform with its backend servers, all fakes, which share one log.
type Deployment struct {
	Plan     Plan
	Log      *record.Log
	Platform *Platform
	Engines  []*Engine
	Services []*Service
	Weights  *WeightStore
}

// PlanOf returns the plan of the named deployment.
func PlanOf(deployment string) (Plan, error) {
	switch deployment {
	case "bagmati":
		return BagmatiPlan(), nil
	case "adwenpa":
		return AdwenpaPlan(), nil
	}
	return Plan{}, fmt.Errorf("unknown deployment %q", deployment)
}

// Bagmati starts a deployment with BagmatiPlan.
func Bagmati(opt Options) (*Deployment, error) { return Start(BagmatiPlan(), opt) }

// Adwenpa starts a deployment with AdwenpaPlan.
func Adwenpa(opt Options) (*Deployment, error) { return Start(AdwenpaPlan(), opt) }

// Start starts the platform and the backend servers of a plan. Failure domains
// alternate between two batches, so that a recall of one batch leaves engines of each
// role.
func Start(plan Plan, opt Options) (*Deployment, error) {
	d := &Deployment{Plan: plan, Log: &record.Log{}, Weights: NewWeightStore()}
	p, err := NewPlatform(PlatformConfig{HostListLag: opt.HostListLag, ChunkSize: opt.ChunkSize, Log: d.Log})
	if err != nil {
		return nil, err
	}
	d.Platform = p
	for i, domain := range plan.Domains {
		opt := opt
		opt.IgnoreFence = opt.IgnoreFence || i%2 == 1
		group := fmt.Sprintf("%s-%c", plan.Group, 'a'+i%2)
		if err := d.startDomain(domain, group, opt); err != nil {
			d.Close()
			return nil, err
		}
	}
	p.SetHosts(opt.EntryHosts, d.Infos())
	if opt.Rules != "" {
		p.Publish(1, opt.Rules)
	}
	return d, nil
}

func (d *Deployment) startDomain(domain ident.FailureDomain, group string, opt Options) error {
	info := engine.Info{Domain: domain, Model: d.Plan.Model, Version: d.Plan.Version, Group: group, Slots: defaultSlots}
	for i := range d.Plan.Prefills {
		info.ID = ident.BackendID(fmt.Sprintf("%s-%s-p%d", d.Plan.Model, domain, i))
		info.Role = engine.Prefill
		if err := d.startEngine(info, opt); err != nil {
			return err
		}
	}
	for i := range d.Plan.Decodes {
		info.ID = ident.BackendID(fmt.Sprintf("%s-%s-d%d", d.Plan.Model, domain, i))
		info.Role = engine.Decode
		if err := d.startEngine(info, opt); err != nil {
			return err
		}
	}
	for i := range d.Plan.Services {
		if err := d.startService(domain, i, opt); err != nil {
			return err
		}
	}
	return nil
}

func (o Options) timing() Timing {
	if o.Timing != nil {
		return *o.Timing
	}
	return DefaultTiming()
}

func (d *Deployment) startEngine(info engine.Info, opt Options) error {
	e, err := NewEngine(EngineConfig{
		Info:        info,
		Timing:      opt.timing(),
		Seed:        opt.Seed + uint64(len(d.Engines)),
		IgnoreFence: opt.IgnoreFence,
		Log:         d.Log,
		Weights:     d.Weights,
	})
	if err != nil {
		return err
	}
	d.Engines = append(d.Engines, e)
	return nil
}

func (d *Deployment) startService(domain ident.FailureDomain, i int, opt Options) error {
	id := ident.BackendID(fmt.Sprintf("%s-%s-%d", d.Plan.Service, domain, i))
	s, err := NewService(ServiceConfig{
		Info:  engine.Info{ID: id, Domain: domain, Role: engine.Service, Model: d.Plan.Service, Slots: 100},
		Scale: opt.timing().Scale,
		Log:   d.Log,
	})
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	return nil
}

// Infos returns the host list entries of all backend servers.
func (d *Deployment) Infos() []engine.Info {
	var out []engine.Info
	for _, b := range d.Backends() {
		out = append(out, b.Info())
	}
	return out
}

// Backends returns all backend servers, engines first.
func (d *Deployment) Backends() []Backend {
	var out []Backend
	for _, e := range d.Engines {
		out = append(out, e)
	}
	for _, s := range d.Services {
		out = append(out, s)
	}
	return out
}

// ErrUnknown is returned for an id that no backend server has.
var ErrUnknown = errors.New("unknown backend server")

// Backend returns the backend server with the given id.
func (d *Deployment) Backend(id string) (Backend, error) {
	for _, b := range d.Backends() {
		if string(b.Info().ID) == id {
			return b, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", ErrUnknown, id)
}

// Engine returns the engine with the given id, or nil.
func (d *Deployment) Engine(id ident.BackendID) *Engine {
	for _, e := range d.Engines {
		if e.cfg.Info.ID == id {
			return e
		}
	}
	return nil
}

// Held returns the number of requests for which the engines hold memory.
func (d *Deployment) Held() int {
	n := 0
	for _, e := range d.Engines {
		n += e.Held()
	}
	return n
}

// Records returns all records of the shared log.
func (d *Deployment) Records() []record.Record { return d.Log.All() }

// Close stops the platform and all backend servers.
func (d *Deployment) Close() {
	d.Platform.Close()
	for _, b := range d.Backends() {
		b.Close()
	}
}
