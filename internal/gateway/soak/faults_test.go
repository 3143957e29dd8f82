package soak

import (
	"net/http"
	"sync"
	"syscall"
	"time"

	"cairndock/platform/platformtest"
)

// fault is one disruption or planned work; run returns when it is over.
type fault struct {
	name string
	run  func(w *world)
}

// unplanned are what goes wrong.
var unplanned = []fault{
	{"kill a host", (*world).killHost},
	{"restart all hosts at once", (*world).restartAllHosts},
	{"take a zone back with cold upstreams and restart all hosts", (*world).restartOnColdUpstreams},
	{"pause a host", (*world).pauseHost},
	{"cut a host from the store", (*world).cutHost},
	{"disrupt the store", (*world).disruptStore},
	{"bring the store back from a copy", (*world).bringStoreBack},
	{"crash an upstream", (*world).crashUpstream},
	{"give an upstream a defect", (*world).breakUpstream},
	{"disrupt an upstream's link", (*world).disruptLink},
	{"silence the open connections of an upstream", (*world).silenceUpstream},
	{"silence the open connections of a host to the store", (*world).silenceHost},
}

func (w *world) killHost() {
	w.restart(w.randomHost(), func() { time.Sleep(w.between(50*time.Millisecond, 2*time.Second)) })
}

// restartAllHosts kills all hosts that are not being ended already, at the same
// moment, and starts them as soon as they are gone.
func (w *world) restartAllHosts() {
	var wait sync.WaitGroup
	for _, h := range w.hosts {
		wait.Go(func() { w.restart(h, func() {}) })
	}
	wait.Wait()
}

// restart kills a host, unless it is being ended already, and starts it again after
// meanwhile.
func (w *world) restart(h *host, meanwhile func()) {
	if !h.ending.TryLock() {
		return
	}
	defer h.ending.Unlock()
	defer h.disruptions.begin()()
	h.kill()
	meanwhile()
	h.expectExit(false)
	h.start()
}

// restartOnColdUpstreams ends an evacuation and restarts all hosts within the
// second in which they sent their first requests to the zone's cold upstreams.
func (w *world) restartOnColdUpstreams() {
	w.evacuateWhile(func() {
		time.Sleep(w.between(50*time.Millisecond, 400*time.Millisecond))
		w.restartAllHosts()
	})
}

func (w *world) pauseHost() {
	h := w.randomHost()
	defer h.beginBlind()()
	h.signal(syscall.SIGSTOP)
	time.Sleep(w.between(200*time.Millisecond, 3*time.Second))
	h.signal(syscall.SIGCONT)
}

func (w *world) cutHost() {
	h := w.randomHost()
	defer h.beginBlind()()
	h.store.set(w.linkFault())
	time.Sleep(w.between(500*time.Millisecond, 4*time.Second))
	h.store.set(pass)
}

// linkFault picks a fault of a link.
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
	time.Sleep(w.between(500*time.Millisecond, 4*time.Second))
	if f.EmptyFeeds || w.intN(3) == 0 {
		w.store.DropHistory()
	}
	w.store.SetFaults(platformtest.Faults{})
}

// bringStoreBack has the store lose what it acknowledged in the last seconds. What the
// operator and the upstreams wrote then is written again soon.
func (w *world) bringStoreBack() {
	if !w.restoring.TryLock() {
		return
	}
	defer w.restoring.Unlock()
	kept := w.store.Copy()
	time.Sleep(w.between(500*time.Millisecond, 4*time.Second))
	defer w.storeDisruptions.begin()()
	lost := w.restoreStore(kept, w.between(50*time.Millisecond, time.Second))
	time.Sleep(w.between(50*time.Millisecond, 2*time.Second))
	w.store.Rewrite(lost)
}

func (w *world) crashUpstream() {
	u := w.takeUpstream()
	if u == nil {
		return
	}
	u.end()
	time.Sleep(w.between(100*time.Millisecond, 3*time.Second))
	w.store.DeleteUpstream(u.ID)
	w.addUpstream(u.zone)
}

func (w *world) breakUpstream() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.defect.Store(int32(1 + w.intN(int(defects)-1)))
	time.Sleep(w.between(500*time.Millisecond, 3*time.Second))
	u.defect.Store(int32(sound))
}

func (w *world) disruptLink() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.link.set(w.linkFault())
	time.Sleep(w.between(500*time.Millisecond, 3*time.Second))
	u.link.set(pass)
}

// Connections that go silent for good count as a fault of one moment, like a
// reset, though hosts may come upon them for as long as they keep them.

func (w *world) silenceUpstream() {
	u := w.randomUpstream()
	defer u.disruptions.begin()()
	u.link.silenceOpen()
}

func (w *world) silenceHost() {
	h := w.randomHost()
	defer h.beginBlind()()
	h.store.silenceOpen()
}
