package tickets

import (
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cairndock/internal/selector/ticket"
)

// heapMB returns the size of the live heap in megabytes.
func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// BenchmarkTicket measures issuing, using and finishing a ticket. The metric kept-B
// is the memory that each retained ticket takes, in bytes.
func BenchmarkTicket(b *testing.B) {
	i := newIssuer(b, nil)
	before, n := heapMB(), 0
	b.ReportAllocs()
	for b.Loop() {
		t, err := i.Issue("planning")
		require.NoError(b, err)
		i.useForBench(t.String())
		n++
	}
	b.ReportMetric((heapMB()-before)*1e6/float64(n), "kept-B")
	require.Equal(b, n, i.Kept())
}

func (i *Issuer) useForBench(text string) {
	t, _ := ticket.Parse(text)
	i.mu.Lock()
	defer i.mu.Unlock()
	_, _, _ = i.own.Begin(t, ticket.DigestOf("s", "POST", "/", nil), time.Now())
	i.own.Finish(t, ticket.Outcome{Status: 200, Body: []byte("{}"), Upstream: "zone-00/service-0-00-00"})
}
