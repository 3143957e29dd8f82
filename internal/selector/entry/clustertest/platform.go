package clustertest

import (
	"context"

	"cairndock/internal/selector/entry/clustertest/memnet"
	"cairndock/internal/selector/store"
)

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
