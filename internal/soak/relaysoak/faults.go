package relaysoak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/mulberrystream/mulberrystream/internal/faultproxy"
	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// fault is a fault with its repair. The run determines how long it lasts.
type fault struct {
	name   string
	inject func(x *run) (repair func() error)
}

func faults() []fault {
	return []fault{
		{"host-kill", killHost},
		{"host-stop", stopHost},
		{"host-pause", pauseHost},
		{"store-down", storeDown},
		{"store-cut-from-host", storeFault(faultproxy.Faults{Cut: true})},
		{"store-one-way", storeFault(faultproxy.Faults{CutToClient: true})},
		{"store-compacts", compactStore},
		{"store-restored", restoreStore},
		{"server-cut", serverFaults(faultproxy.Faults{Cut: true})},
		{"server-one-way", serverFaults(faultproxy.Faults{CutToClient: true})},
		{"server-refuses", serverFaults(faultproxy.Faults{Refuse: true})},
		{"server-slow-link", serverFaults(faultproxy.Faults{Delay: 30 * time.Millisecond, Jitter: 60 * time.Millisecond})},
		{"server-cut-midway", serverFaults(faultproxy.Faults{CutWithin: 900})},
		{"server-connections-silent", silenceServer},
		{"server-full", serverBehaviour(platformtest.Behaviour{Full: true})},
		{"server-fails", serverBehaviour(platformtest.Behaviour{Fail: true, LostCache: true, Events: streamEvents})},
		{"server-loses-answers", serverBehaviour(platformtest.Behaviour{ResetAfterRun: true, CutAfter: 3, Events: streamEvents})},
		{"server-garbles", serverBehaviour(platformtest.Behaviour{WrongID: true, Events: streamEvents})},
		{"server-repeats-answers", repeatAnswers(platformtest.Behaviour{})},
		{"server-repeats-refusals", repeatAnswers(platformtest.Behaviour{LostCache: true})},
		{"server-leaves", drainServer},
		{"server-announces-leaving", announceLeaving},
		{"server-names-limit", nameLimit},
		{"request-crashes-servers", crashServers},
		{releaseFault, releaseEngines},
		{"hosts-killed", killHosts},
		{"server-asks-for-time", serverBehaviour(platformtest.Behaviour{RetryAfter: "1.5", Events: streamEvents})},
	}
}

// pickTarget selects a random element that no active fault targets, and returns a
// function that releases it.
func pickTarget[T comparable](x *run, all []T) (T, func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var none T
	var free []T
	for _, t := range all {
		if !x.targeted[any(t)] {
			free = append(free, t)
		}
	}
	// At least half of the elements stay without faults, so that the fleet can serve.
	if 2*len(free) <= len(all) {
		return none, func() {}
	}
	t := free[x.rng.IntN(len(free))]
	x.targeted[any(t)] = true
	return t, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.targeted, any(t))
	}
}

// injectAt injects a fault at one of the targets, if enough others have no fault.
func injectAt[T comparable](x *run, all []T, inject func(T) (repair func() error)) func() error {
	t, release := pickTarget(x, all)
	var none T
	if t == none {
		return noRepair
	}
	repair := inject(t)
	return func() error {
		defer release()
		return repair()
	}
}

func noRepair() error { return nil }

func (x *run) restart(h *process) func() error {
	return func() error {
		if err := x.d.startProcess(h); err != nil {
			return err
		}
		return x.d.awaitReady(h)
	}
}

// disturb records that a host is restarted or paused from now on until the returned
// function is called.
func (x *run) disturb(h *process) (end func()) {
	begin, name := time.Now(), h.settings.Name
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.disturbed[name] = append(x.disturbed[name], period{begin, time.Now()})
	}
}

func killHost(x *run) func() error {
	return injectAt(x, x.d.hosts, func(h *process) func() error {
		end := x.disturb(h)
		h.signal(syscall.SIGKILL)
		h.wait()
		return func() error {
			defer end()
			return x.restart(h)()
		}
	})
}

func stopHost(x *run) func() error {
	return injectAt(x, x.d.hosts, func(h *process) func() error {
		end := x.disturb(h)
		h.signal(syscall.SIGTERM)
		var wg sync.WaitGroup
		wg.Go(h.wait)
		return func() error {
			defer end()
			wg.Wait()
			return x.restart(h)()
		}
	})
}

func pauseHost(x *run) func() error {
	return injectAt(x, x.d.hosts, func(h *process) func() error {
		end := x.disturb(h)
		h.signal(syscall.SIGSTOP)
		return func() error {
			defer end()
			h.signal(syscall.SIGCONT)
			return nil
		}
	})
}

func storeDown(x *run) func() error {
	x.d.store.SetDown(true)
	return func() error {
		x.d.store.SetDown(false)
		return nil
	}
}

func storeFault(f faultproxy.Faults) func(x *run) func() error {
	return func(x *run) func() error {
		return injectAt(x, x.d.hosts, func(h *process) func() error {
			h.store.Set(f)
			return func() error {
				h.store.Set(faultproxy.Faults{})
				h.store.Reset()
				return nil
			}
		})
	}
}

func compactStore(x *run) func() error {
	x.d.store.Compact()
	return noRepair
}

// restoreStore lets the store come back from the copy that it had when the fault began.
// What was written since is written again a second later.
func restoreStore(x *run) func() error {
	x.d.store.Backup()
	return func() error {
		rewrite := x.d.store.Restore()
		time.Sleep(time.Second)
		rewrite()
		return nil
	}
}

func serverFaults(f faultproxy.Faults) func(x *run) func() error {
	return func(x *run) func() error {
		return injectAt(x, x.d.servers, func(s *server) func() error {
			s.proxy.Set(f)
			return func() error {
				s.proxy.Set(faultproxy.Faults{})
				s.proxy.Reset()
				return nil
			}
		})
	}
}

func silenceServer(x *run) func() error {
	return injectAt(x, x.d.servers, func(s *server) func() error {
		s.mu.Lock()
		s.silenceAt = time.Now()
		s.mu.Unlock()
		s.proxy.Silence()
		return noRepair
	})
}

func serverBehaviour(b platformtest.Behaviour) func(x *run) func() error {
	return func(x *run) func() error {
		return injectAt(x, x.d.servers, func(s *server) func() error {
			s.SetBehaviour(b)
			return func() error {
				s.SetBehaviour(platformtest.Behaviour{Events: streamEvents, Gap: 25 * time.Millisecond, Delay: 10 * time.Millisecond})
				return nil
			}
		})
	}
}

// repeatAnswers lets a server send half of its answers a second time, when the next request
// on the connection has arrived: answers to requests, refusals and reservations.
func repeatAnswers(b platformtest.Behaviour) func(x *run) func() error {
	b.Events, b.Gap, b.Delay = 12, 25*time.Millisecond, 10*time.Millisecond
	return func(x *run) func() error {
		var mu sync.Mutex
		x.mu.Lock()
		rng := rand.New(rand.NewPCG(x.rng.Uint64(), 31))
		x.mu.Unlock()
		repeating := b
		repeating.Repeat = func(*http.Request, int) bool {
			mu.Lock()
			defer mu.Unlock()
			return rng.IntN(2) == 0
		}
		return serverBehaviour(repeating)(x)
	}
}

// announceLeaving lets a server announce in its answers that it leaves, while the store has
// it as ready. The repair starts a new process under the same id and address.
func announceLeaving(x *run) func() error {
	return injectAt(x, x.d.servers, func(s *server) func() error {
		all := func(*http.Request) bool { return true }
		b := platformtest.Behaviour{Events: streamEvents, Gap: 25 * time.Millisecond, Delay: 10 * time.Millisecond}
		announcing := b
		announcing.Leaving = all
		s.SetBehaviour(announcing)
		return func() error {
			// Requests count against the rule only after drainBound.
			time.Sleep(drainBound)
			s.SetBehaviour(b)
			s.mu.Lock()
			s.restarts = append(s.restarts, time.Now())
			s.mu.Unlock()
			return x.d.publishServer(s, "ready")
		}
	})
}

// serverLimit is the limit that servers name, in requests per second.
const serverLimit = 2

// nameLimit lets a server name a limit for as long as the fault lasts and one window of the
// rule longer.
func nameLimit(x *run) func() error {
	return injectAt(x, x.d.servers, func(s *server) func() error {
		b := platformtest.Behaviour{Events: streamEvents, Gap: 25 * time.Millisecond, Delay: 10 * time.Millisecond}
		limited := b
		limited.Limit = fmt.Sprint(serverLimit)
		s.SetBehaviour(limited)
		return func() error {
			time.Sleep(limitWindow)
			s.SetBehaviour(b)
			return nil
		}
	})
}

// crashServers lets one request crash each plain server that runs it, and sends it again and
// again for as long as the fault lasts and the bound longer.
func crashServers(x *run) func() error {
	// Only one at a time: a request that no longer crashes servers may be sent to them.
	return injectAt(x, []string{"request that crashes servers"}, func(string) func() error {
		x.crashRequests++
		body := fmt.Sprint(crashBody, x.crashRequests)
		for _, s := range x.d.servers {
			s.SetCrashBody(body)
		}
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { x.repeat(body, stop) })
		return func() error {
			time.Sleep(crashBound)
			close(stop)
			wg.Wait()
			for _, s := range x.d.servers {
				s.SetCrashBody("")
			}
			return nil
		}
	})
}

func drainServer(x *run) func() error {
	return injectAt(x, x.d.servers, func(s *server) func() error {
		if err := x.d.publishServer(s, "draining"); err != nil {
			return func() error { return err }
		}
		return func() error { return x.d.publishServer(s, "ready") }
	})
}

// faultByName returns the fault with the given name.
func faultByName(name string) (fault, error) {
	for _, f := range faults() {
		if f.name == name {
			return f, nil
		}
	}
	return fault{}, fmt.Errorf("relaysoak: unknown fault %q", name)
}

// randomFault returns a random fault.
func randomFault(rnd *rand.Rand) fault {
	all := faults()
	return all[rnd.IntN(len(all))]
}
