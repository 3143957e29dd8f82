package clustertest

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/config"
	"cairndock/internal/selector/entry/clustertest/memnet"
	"cairndock/internal/selector/standin"
	"cairndock/internal/selector/store"
)

// Freeze cuts a host off from everything for a time, which must be longer than
// the silence after which the host closes its fence by itself.
func (c *Cluster) Freeze(name string, d time.Duration) {
	others := append(c.Names(), "platform")
	for _, o := range others {
		c.Net.Cut(name, o)
	}
	time.Sleep(d)
	for _, o := range others {
		c.Net.Heal(name, o)
	}
}

// Names gives the names of all hosts and upstreams.
func (c *Cluster) Names() []string {
	var names []string
	for name := range c.Upstreams {
		names = append(names, name)
	}
	for _, z := range zones {
		names = append(names, z.hosts...)
	}
	return names
}

// CutZone cuts a zone off from everything outside it.
func (c *Cluster) CutZone(zone string, d time.Duration) {
	inside := func(name string) bool { return strings.HasPrefix(strings.TrimPrefix(name, "up-"), zone+"-") }
	outside := append(c.Names(), "platform")
	each := func(f func(a, b string)) {
		for _, a := range c.Names() {
			for _, b := range outside {
				if inside(a) && !inside(b) {
					f(a, b)
				}
			}
		}
	}
	each(c.Net.Cut)
	time.Sleep(d)
	each(c.Net.Heal)
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

// FaultAll gives every upstream the same faults.
func (c *Cluster) FaultAll(f standin.Faults) {
	for _, u := range c.Upstreams {
		u.SetFaults(f)
	}
}

// Revision is the newest revision of the configuration.
func (c *Cluster) Revision() uint64 {
	rev, err := config.NewLog(c.Memory, c.Memory).Head(context.Background())
	require.NoError(c.T, err)
	return rev
}

// RunsIn sums the runs of a zone's upstreams.
func (c *Cluster) RunsIn(zone string) int {
	n := 0
	for name, u := range c.Upstreams {
		if strings.HasPrefix(name, "up-"+zone) {
			n += u.Ledger().Runs
		}
	}
	return n
}

// tableOf is the platform as one host reaches it: a cut link to the name
// "platform" makes its calls hang until they time out.
type tableOf struct {
	*store.Memory
	net  *memnet.Network
	name string
}

func (p tableOf) reach(ctx context.Context) error { return p.net.WaitHealed(ctx, p.name, "platform") }

func (p tableOf) Get(ctx context.Context, key store.Key) (store.Row, error) {
	if err := p.reach(ctx); err != nil {
		return store.Row{}, err
	}
	return p.Memory.Get(ctx, key)
}

func (p tableOf) Transact(ctx context.Context, writes []store.Write) error {
	if err := p.reach(ctx); err != nil {
		return err
	}
	return p.Memory.Transact(ctx, writes)
}

func (p tableOf) List(ctx context.Context, partition, after string, limit int) ([]store.Row, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.Memory.List(ctx, partition, after, limit)
}

func (p tableOf) Hosts(ctx context.Context) ([]store.HostState, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.Memory.Hosts(ctx)
}
