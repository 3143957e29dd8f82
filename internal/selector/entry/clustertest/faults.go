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

// Kill closes a host immediately. The platform lists it as stopped 3 s later.
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

// CutOff isolates the names that begin with one of the prefixes from all other
// names, including the platform, for a time. The prefixes can select a host, or a
// zone by its hosts and upstreams. An isolated single host behaves like a paused
// one if the time exceeds the silence after which it closes its fence.
func (c *Cluster) CutOff(d time.Duration, prefixes ...string) {
	inside := func(name string) bool {
		return slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(name, p) })
	}
	c.Net.Cut(func(a, b string) bool { return inside(a) && !inside(b) })
	time.Sleep(d)
	c.Net.Cut(nil)
}

// StoreDown makes every call to the platform's store fail for a time.
func (c *Cluster) StoreDown(d time.Duration) {
	c.Memory.SetFault(func(string, bool) error { return errors.New("platform is down") })
	time.Sleep(d)
	c.Memory.SetFault(nil)
}

// LoseResponses makes writes succeed without a response for a time.
func (c *Cluster) LoseResponses(d time.Duration) {
	c.Memory.SetFault(func(op string, after bool) error {
		if op == "transact" && after {
			return errors.New("response lost")
		}
		return nil
	})
	time.AfterFunc(d, func() { c.Memory.SetFault(nil) })
}

// platform is one host's access to the platform. While the link to the name
// "platform" is cut, its calls block until they time out.
type platform struct {
	*store.Memory
	host memnet.End
}

// reach waits until the host can reach the platform or ctx ends. In the latter
// case, store.Memory returns the error of ctx.
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
