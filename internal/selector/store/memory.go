package store

import (
	"context"
	"slices"
	"strings"
	"sync"
)

// Memory is an in-memory implementation of the table, the objects and the host
// list, for the quick start, `cairndock standin` and tests. Its fault hook can
// simulate failures of the real services. It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex
	rows    map[Key]Row
	objects map[string][]byte
	hosts   map[string]State
	calls   map[string]int // by operation
	// fault is called before each operation, and with after set once the
	// operation has succeeded.
	fault func(op string, after bool) error
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{
		rows:    map[Key]Row{},
		objects: map[string][]byte{},
		hosts:   map[string]State{},
		calls:   map[string]int{},
	}
}

// SetFault sets a hook that is called before every operation and after every
// successful operation; nil removes the hook. An error that the hook returns with
// after set simulates a lost response: the write took effect.
func (m *Memory) SetFault(f func(op string, after bool) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// Calls returns the number of calls of an operation: "get", "transact", "list",
// "put-object", "get-object" or "hosts".
func (m *Memory) Calls(op string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls[op]
}

// run runs an operation between the two calls of the fault hook.
func (m *Memory) run(ctx context.Context, op string, do func() error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	m.mu.Lock()
	m.calls[op]++
	fault := m.fault
	m.mu.Unlock()
	if fault != nil {
		if err := fault(op, false); err != nil {
			return err
		}
	}
	m.mu.Lock()
	err := do()
	m.mu.Unlock()
	if fault != nil && err == nil {
		return fault(op, true)
	}
	return err
}

// Get behaves like Table.Get.
func (m *Memory) Get(ctx context.Context, key Key) (row Row, err error) {
	err = m.run(ctx, "get", func() error {
		r, ok := m.rows[key]
		if !ok {
			return ErrNotFound
		}
		row = r
		row.Body = slices.Clone(r.Body)
		return nil
	})
	return row, err
}

// Transact behaves like Table.Transact.
func (m *Memory) Transact(ctx context.Context, writes []Write) error {
	return m.run(ctx, "transact", func() error {
		for _, w := range writes {
			if m.rows[w.Key].Version != w.IfVersion {
				return ErrConflict
			}
		}
		for _, w := range writes {
			m.rows[w.Key] = Row{Key: w.Key, Version: w.IfVersion + 1, Body: slices.Clone(w.Body)}
		}
		return nil
	})
}

// List behaves like Table.List.
func (m *Memory) List(ctx context.Context, partition, after string, limit int) (rows []Row, err error) {
	err = m.run(ctx, "list", func() error {
		for key, row := range m.rows {
			if key.Partition == partition && key.Sort > after {
				rows = append(rows, row)
			}
		}
		slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
		if len(rows) > limit {
			rows = rows[:limit]
		}
		return nil
	})
	return rows, err
}

// PutObject behaves like Objects.PutObject.
func (m *Memory) PutObject(ctx context.Context, name string, body []byte) error {
	return m.run(ctx, "put-object", func() error {
		m.objects[name] = slices.Clone(body)
		return nil
	})
}

// GetObject behaves like Objects.GetObject.
func (m *Memory) GetObject(ctx context.Context, name string) (body []byte, err error) {
	err = m.run(ctx, "get-object", func() error {
		b, ok := m.objects[name]
		if !ok {
			return ErrNotFound
		}
		body = slices.Clone(b)
		return nil
	})
	return body, err
}

// SetHost adds or replaces an entry of the host list.
func (m *Memory) SetHost(name string, state State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hosts[name] = state
}

// DropHost removes an entry from the host list.
func (m *Memory) DropHost(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, name)
}

// Hosts behaves like HostList.Hosts. The list is ordered by name.
func (m *Memory) Hosts(ctx context.Context) (hosts []HostState, err error) {
	err = m.run(ctx, "hosts", func() error {
		for name, state := range m.hosts {
			hosts = append(hosts, HostState{Name: name, State: state})
		}
		slices.SortFunc(hosts, func(a, b HostState) int { return strings.Compare(a.Name, b.Name) })
		return nil
	})
	return hosts, err
}
