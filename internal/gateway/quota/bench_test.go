package quota

import (
	"context"
	"errors"
	"testing"
	"time"
)

// noPeers is a Hosts on which all token requests fail.
type noPeers struct{ assignment *Assignment }

func (h noPeers) Assignment() *Assignment { return h.assignment }

func (noPeers) RequestTokens(context.Context, string, TokenRequest) (TokenResponse, error) {
	return TokenResponse{}, errors.New("no host responds")
}

// BenchmarkAdmit measures the cost of a limit for an admitted and for a refused request. A
// refused request should cost no more than the check.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name string
		rate float64
	}{{"passes", 1e12}, {"is refused", 0.001}} {
		b.Run(c.name, func(b *testing.B) {
			a := limited("a", c.rate, 1)
			l := NewLimiter(Options{
				Host: "z0-large-0", Zone: "z0", Region: "r0", Bound: bound, Metrics: noMetrics{},
				Hosts: noPeers{&Assignment{Layout: testLayout(1, 1, 0), HoldsShards: true, HeldSince: time.Now().Add(-time.Hour)}},
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
