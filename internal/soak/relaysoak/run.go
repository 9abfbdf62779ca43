package relaysoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mulberrystream/mulberrystream/platform/platformtest"
)

// Times of a run.
const (
	meanFaultInterval = 700 * time.Millisecond // between the starts of two faults
	meanFaultDuration = 2 * time.Second
	revokeFraction    = 0.6 // fraction of the run after which the key is withdrawn
)

// run is one seeded run on a deployment.
type run struct {
	d    *deployment
	seed uint64

	mu       sync.Mutex
	rng      *rand.Rand
	targeted map[any]bool
	// disturbed are the times of restarts and pauses by host.
	disturbed map[string][]period
	// crashRequests is the number of requests so far that crash servers.
	crashRequests int
	// versions is the number of releases so far.
	versions int
	// mixed are the times in which two versions served, and others those of other faults.
	mixed, others []period
	log           []string // the faults with their times

	started time.Time
	revoked time.Time // when the old key was withdrawn
	calls   []*call
	// resumed and wentOn count the streams for which checkResumed holds.
	resumed, wentOn int
}

// outcome is the result of a run.
type outcome struct {
	seed       uint64
	calls      int
	served     int
	resumed    int // streams that were resumed while two versions served and nothing else happened
	wentOn     int // of these
	faults     []string
	violations []string
	harnessErr error // failure to inject or repair faults
}

// execute sends load for the given time and injects faults, drawn from only or, if that
// is empty, from all faults.
func execute(d *deployment, seed uint64, length time.Duration, only []fault) outcome {
	x := &run{d: d, seed: seed, rng: rand.New(rand.NewPCG(seed, 8)), targeted: map[any]bool{}, disturbed: map[string][]period{}, started: time.Now()}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range callers {
		wg.Go(func() { x.caller(i, stop) })
	}
	err := x.injectFaults(length, only)
	close(stop)
	wg.Wait()
	o := outcome{seed: seed, calls: len(x.calls), faults: x.log, violations: x.check(), harnessErr: err}
	o.resumed, o.wentOn = x.resumed, x.wentOn
	for _, c := range x.calls {
		if c.status == 200 && c.err == nil {
			o.served++
		}
	}
	return o
}

// injectFaults injects faults until the end of the run, or until the key cannot be
// withdrawn, and repairs all of them.
func (x *run) injectFaults(length time.Duration, only []fault) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	end := x.started.Add(length)
	for time.Now().Before(end) {
		if x.revoked.IsZero() && time.Since(x.started) > time.Duration(revokeFraction*float64(length)) {
			if err := x.revoke(); err != nil {
				mu.Lock()
				failed = errors.Join(failed, err)
				mu.Unlock()
				break
			}
		}
		f, lasts, pause := x.nextFault(only)
		x.logFault(f.name, lasts)
		begin := time.Now()
		repair := f.inject(x)
		wg.Go(func() {
			time.Sleep(lasts)
			defer x.faultEnded(f.name, begin)
			if err := repair(); err != nil {
				mu.Lock()
				failed = errors.Join(failed, fmt.Errorf("repair of %s: %w", f.name, err))
				mu.Unlock()
			}
		})
		time.Sleep(pause)
	}
	wg.Wait()
	return failed
}

func (x *run) nextFault(only []fault) (f fault, lasts, pause time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	f = randomFault(x.rng)
	if len(only) > 0 {
		f = only[x.rng.IntN(len(only))]
	}
	spread := func(mean time.Duration) time.Duration {
		return mean/2 + time.Duration(x.rng.Int64N(int64(mean)))
	}
	return f, spread(meanFaultDuration), spread(meanFaultInterval)
}

func (x *run) logFault(name string, lasts time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.log = append(x.log, fmt.Sprintf("%.1fs %s for %.1fs", time.Since(x.started).Seconds(), name, lasts.Seconds()))
}

// faultEnded records the time of a fault.
func (x *run) faultEnded(name string, begin time.Time) {
	if name == releaseFault {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.others = append(x.others, period{begin, time.Now()})
}

// revoke withdraws the organisation's key and configures a new one.
func (x *run) revoke() error {
	err := x.d.configure(newKey)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.revoked = time.Now()
	return err
}

// newKey replaces platformtest.Key in the middle of a run.
const newKey = "second-key-of-org"

// key returns the key for the next call. After the withdrawal one call in four still
// uses the old key.
func (x *run) key() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.revoked.IsZero() || x.rng.IntN(4) == 0 {
		return platformtest.Key
	}
	return newKey
}
