package quota

import (
	"context"
	"errors"
	"testing"
	"time"
)

// noOthers is a host that asks in vain.
type noOthers struct{ place *Place }

func (h noOthers) Place() *Place { return h.place }

func (noOthers) RequestTokens(context.Context, string, Ask) (Answer, error) {
	return Answer{}, errors.New("nobody answers")
}

// BenchmarkAdmit is what a limit costs a request: one that passes, and one that is
// refused, which costs no more than to look.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64
	}{{"passes", 1e12}, {"is refused", 0.001}} {
		b.Run(c.name, func(b *testing.B) {
			a := limited("a", c.rate, 1)
			l := NewLimiter(Options{
				Host: "z0-large-0", Zone: "z0", Region: "r0", Bound: bound, Metrics: noMetrics{},
				Hosts: noOthers{&Place{Layout: testLayout(1, 1, 0), Holds: true, Since: time.Now().Add(-time.Hour)}},
			})
			for range 100 {
				l.Admit(b.Context(), a)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Admit(b.Context(), a)
			}
		})
	}
}
