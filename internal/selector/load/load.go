// Package load generates an open-loop load, as many clients do, against a running
// system, and compares the verdicts that the clients received with the ledgers of
// the stand-in upstreams (package standin). A violation is a request that ran
// twice, that ran although its verdict was not-run, that started without a free
// slot, or that got the response to another request. `cairndock load` and the
// quick start use this package. It sends to loopback addresses only.
package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Limits of every load, so that a mistyped flag does not occupy the machine for
// hours.
const (
	// maxDuration is the maximum duration of a load.
	maxDuration = 10 * time.Minute
	// maxRate is the maximum sum of the classes' rates, in requests per second.
	maxRate = 100_000
	// maxOutstanding is the maximum number of concurrent requests. Arrivals above
	// it are counted as skipped.
	maxOutstanding = 4_000
)

const (
	// maxLatencyMicros is the highest latency that the histograms distinguish, in
	// microseconds. It is twice the longest timeout of the quick start, 60 s.
	maxLatencyMicros = int64(2 * time.Minute / time.Microsecond)
	// latencyDigits is the histograms' precision, in significant digits.
	latencyDigits = 3
	// refreshInterval is the interval at which the hosts to use are requested
	// again.
	refreshInterval = time.Second
	// nearestHosts is the number of nearest hosts that share the load, as with
	// clients that cache the entries.
	nearestHosts = 3
)

// Class is one kind of request of a load.
type Class struct {
	Name    string
	Service string
	Method  string
	// Path is the path of the request. %d in it is replaced by the request's
	// number.
	Path string
	Body string
	// Rate is the number of arrivals per second. It rises linearly from zero
	// over Ramp.
	Rate float64
	Ramp time.Duration
	// Ticket makes each request take a ticket first. Resend sends such a
	// request a second time through another host.
	Ticket bool
	Resend bool
	// Timeout is sent with each request. If it is zero, the service's timeout
	// applies.
	Timeout time.Duration
	// Echo means that a response contains the path of its request, which makes
	// the response to another request detectable.
	Echo bool
}

// Lookups returns a class of short requests at a rate per second.
func Lookups(service string, rate float64) Class {
	return Class{Name: "lookups", Service: service, Method: http.MethodGet, Path: "/tracks/%d", Rate: rate, Echo: true}
}

// Bookings returns a class of requests with tickets at a rate per second. Each
// request is sent twice, through two hosts.
func Bookings(service string, rate float64) Class {
	return Class{Name: "bookings", Service: service, Method: http.MethodPost, Path: "/bookings", Body: "{}", Rate: rate, Ticket: true, Resend: true}
}

// Options describes a load.
type Options struct {
	// Entry is the client address of any host.
	Entry    string
	Classes  []Class
	Duration time.Duration
	// Upstreams are the addresses of the stand-in upstreams whose ledgers are
	// read at the end.
	Upstreams []string
}

// Check returns the first fault of the options.
func (o Options) Check() error {
	if o.Duration <= 0 || o.Duration > maxDuration {
		return eris.Errorf("duration must be above 0 and at most %s", maxDuration)
	}
	sum := 0.0
	for _, c := range o.Classes {
		sum += c.Rate
	}
	if sum <= 0 || sum > maxRate {
		return eris.Errorf("rates must add up to above 0 and at most %d", maxRate)
	}
	for _, addr := range append([]string{o.Entry}, o.Upstreams...) {
		if err := checkLoopback(addr); err != nil {
			return err
		}
	}
	return nil
}

// checkLoopback returns an error unless addr is a loopback address with a port.
func checkLoopback(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return eris.Wrapf(err, "target %q", addr)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return eris.Errorf("target %q is not a loopback address", addr)
	}
	return nil
}

// run is the state of a load in progress.
type run struct {
	options Options
	client  *http.Client
	// hosts are the addresses of the hosts to use, nearest first.
	hosts          atomic.Pointer[[]string]
	outstanding    chan struct{} // holds one value per outstanding request
	skipped        atomic.Int64
	wrongResponses atomic.Int64
	requests       sync.WaitGroup

	mu       sync.Mutex
	verdicts map[string]string // the last verdict of each ticket
}

// Run sends a load and waits for all responses. It fails if the options are
// invalid, if the hosts to use can't be discovered, or if a ledger can't be read.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	r := &run{
		options: o, outstanding: make(chan struct{}, maxOutstanding), verdicts: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOutstanding}},
	}
	if err := r.discover(ctx); err != nil {
		return Report{}, err
	}
	arrivalsCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	go r.refreshHosts(arrivalsCtx)
	start := time.Now()
	var classes []*classRun
	var arrivals sync.WaitGroup
	for _, c := range o.Classes {
		cr := newClassRun(c)
		classes = append(classes, cr)
		arrivals.Go(func() { r.sendArrivals(arrivalsCtx, ctx, cr) })
	}
	arrivals.Wait()
	r.requests.Wait()
	report := Report{Seconds: time.Since(start).Seconds(), Skipped: int(r.skipped.Load()), Wrong: int(r.wrongResponses.Load())}
	for _, cr := range classes {
		report.Results = append(report.Results, cr.finish())
	}
	err := r.readLedgers(ctx, &report)
	return report, err
}
