package soak

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

// fault is one disruption or one piece of planned work. The function run returns when it
// is over.
type fault struct {
	name string
	run  func(w *world)
}

// unplannedFaults are the disruptions that no operator plans.
var unplannedFaults = []fault{
	{"kill a host", (*world).killHost},
	{"restart all hosts at once", (*world).restartAllHosts},
	{"end an evacuation with cold upstreams and restart all hosts", (*world).restartOnColdUpstreams},
	{"pause a host", (*world).pauseHost},
	{"disconnect a host from the store", (*world).disconnectHost},
	{"disrupt the store", (*world).disruptStore},
	{"restore the store from a copy", (*world).restoreFromCopy},
	{"crash an upstream", (*world).crashUpstream},
	{"give an upstream a defect", (*world).breakUpstream},
	{"disrupt an upstream's link", (*world).disruptLink},
	{"silence the open connections of an upstream", (*world).silenceUpstream},
	{"silence the open connections of a host to the store", (*world).silenceHost},
}

func (w *world) killHost() {
	w.restart(w.randomHost(), func() { time.Sleep(w.randomDuration(50*time.Millisecond, 2*time.Second)) })
}

// restartAllHosts kills all hosts at the same time, except hosts that are already being
// stopped, and starts each as soon as its process has ended.
func (w *world) restartAllHosts() {
	var wait sync.WaitGroup
	for _, h := range w.hosts {
		wait.Go(func() { w.restart(h, func() {}) })
	}
	wait.Wait()
}

// restart kills a host, unless it is already being stopped, and starts it again after
// meanwhile has returned.
func (w *world) restart(h *host, meanwhile func()) {
	if !h.restartMu.TryLock() {
		return
	}
	defer h.restartMu.Unlock()
	defer h.disruptions.begin()()
	h.kill()
	meanwhile()
	h.expectExit(false)
	h.start()
}

// restartOnColdUpstreams ends an evacuation and restarts all hosts within the second in
// which they send the first requests to the zone's cold upstreams.
func (w *world) restartOnColdUpstreams() {
	w.evacuateAndThen(func() {
		time.Sleep(w.randomDuration(50*time.Millisecond, 400*time.Millisecond))
		w.restartAllHosts()
	})
}

func (w *world) pauseHost() {
	h := w.randomHost()
	defer h.beginIsolation()()
	h.signal(syscall.SIGSTOP)
	time.Sleep(w.randomDuration(200*time.Millisecond, 3*time.Second))
	h.signal(syscall.SIGCONT)
}

func (w *world) disconnectHost() {
	h := w.randomHost()
	defer h.beginIsolation()()
	h.store.set(w.linkFault())
	time.Sleep(w.randomDuration(500*time.Millisecond, 4*time.Second))
	h.store.set(pass)
}

// linkFault returns a random fault of a link.
func (w *world) linkFault() linkMode { return []linkMode{silence, oneWay, refuse, delay}[w.intN(4)] }

// storeFaults are the faults of the store.
var storeFaults = []platformtest.Faults{
	{Status: http.StatusServiceUnavailable},
	{Status: http.StatusTooManyRequests},
	{Silent: true},
	{Reset: true},
	{LoseResponses: true, Late: time.Second},
	{Slow: 300 * time.Millisecond},
	{EmptyFeeds: true},
}

func (w *world) disruptStore() {
	defer w.storeDisruptions.begin()()
	f := storeFaults[w.intN(len(storeFaults))]
	w.store.SetFaults(f)
	time.Sleep(w.randomDuration(500*time.Millisecond, 4*time.Second))
	if f.EmptyFeeds || w.intN(3) == 0 {
		w.store.DropHistory()
	}
	w.store.SetFaults(platformtest.Faults{})
}

// restoreFromCopy makes the store lose the writes that it acknowledged in the last
// seconds. The operator and the upstreams write them again soon afterwards.
func (w *world) restoreFromCopy() {
	if !w.restoring.TryLock() {
		return
	}
	defer w.restoring.Unlock()
	snapshot := w.store.Copy()
	time.Sleep(w.randomDuration(500*time.Millisecond, 4*time.Second))
	defer w.storeDisruptions.begin()()
	lost := w.restoreStore(snapshot, w.randomDuration(50*time.Millisecond, time.Second))
	time.Sleep(w.randomDuration(50*time.Millisecond, 2*time.Second))
	w.store.Rewrite(lost)
}

func (w *world) crashUpstream() {
	u := w.removeUpstream()
	if u == nil {
		return
	}
	u.end()
	time.Sleep(w.randomDuration(100*time.Millisecond, 3*time.Second))
	w.store.DeleteUpstream(u.ID)
	w.addUpstream(u.zone)
}

func (w *world) breakUpstream() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.defect.Store(int32(1 + w.intN(int(defects)-1)))
	time.Sleep(w.randomDuration(500*time.Millisecond, 3*time.Second))
	u.defect.Store(int32(healthy))
}

func (w *world) disruptLink() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.link.set(w.linkFault())
	time.Sleep(w.randomDuration(500*time.Millisecond, 3*time.Second))
	u.link.set(pass)
}

// Making connections permanently silent is recorded as a momentary fault, like a
// reset, although hosts may use the silent connections for as long as they keep them.

func (w *world) silenceUpstream() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.link.silenceOpenConns()
}

func (w *world) silenceHost() {
	h := w.randomHost()
	defer h.beginIsolation()()
	h.store.silenceOpenConns()
}
