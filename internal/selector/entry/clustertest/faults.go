package clustertest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"cairndock/internal/selector/entry/clustertest/memnet"
	"cairndock/internal/selector/store"
)

// Kill ends a host at once; the platform's list says so 3 s later.
func (c *Cluster) Kill(name string) {
	h := c.Host(name)
	c.hosts.Delete(name)
	h.Close()
	time.AfterFunc(3*time.Second, func() {
		if c.Host(name) == nil {
			c.Memory.SetHost(name, store.Gone)
		}
	})
}

// CutOff cuts the names that begin with one of the prefixes off from all others,
// the platform too, for a time: a host, or a zone by its hosts and upstreams. A
// single host acts as a paused one does if the time is longer than the silence
// after which it closes its fence by itself.
func (c *Cluster) CutOff(d time.Duration, prefixes ...string) {
	inside := func(name string) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) })
	}
	c.Net.Cut(func(a, b string) bool { return inside(a) && !inside(b) })
	time.Sleep(d)
	c.Net.Cut(nil)
}

// StoreDown has the platform's store fail every call for a time.
func (c *Cluster) StoreDown(d time.Duration) {
	c.Memory.SetFault(func(string, bool) error { return errors.New("platform is down") })
	time.Sleep(d)
	c.Memory.SetFault(nil)
}

// LoseAnswers makes writes take effect without an answer.
func (c *Cluster) LoseAnswers(d time.Duration) {
	c.Memory.SetFault(func(op string, after bool) error {
		if op == "transact" && after {
			return errors.New("answer lost")
		}
		return nil
	})
	time.AfterFunc(d, func() { c.Memory.SetFault(nil) })
}

// platform is the platform as one host reaches it: a cut link to the name
// "platform" makes its calls hang until they time out.
type platform struct {
	*store.Memory
	host memnet.End
}

// reach waits until the host can reach the platform, or ctx ends, which
// store.Memory then returns as the call's error.
func (p platform) reach(ctx context.Context) context.Context {
	_ = p.host.Reach(ctx, "platform")
	return ctx
}

func (p platform) Get(ctx context.Context, k store.Key) (store.Row, error) {
	return p.Memory.Get(p.reach(ctx), k)
}

func (p platform) Transact(ctx context.Context, w []store.Write) error {
	return p.Memory.Transact(p.reach(ctx), w)
}

func (p platform) Hosts(ctx context.Context) ([]store.HostState, error) {
	return p.Memory.Hosts(p.reach(ctx))
}

func (p platform) List(ctx context.Context, partition, after string, limit int) ([]store.Row, error) {
	return p.Memory.List(p.reach(ctx), partition, after, limit)
}
