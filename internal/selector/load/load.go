// Package load sends an open-loop load to a running system, as many clients
// would, and compares the verdicts they got with the ledgers of the stand-in
// upstreams (package standin): a request that ran twice, that ran in spite of
// not-run, that began without a slot or that got another request's response is a
// violation. `cairndock load` and the quick start use it. It sends to loopback
// only.
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

// The limits of every load: a mistyped flag
// should not occupy the machine for hours.
const (
	// maxDuration is the longest load.
	maxDuration = 10 * time.Minute
	// maxRate is the highest sum of the classes' rates, in requests per second.
	maxRate = 100_000
	// maxOutstanding is the most requests at a time; arrivals beyond it are
	// counted as skipped.
	maxOutstanding = 4_000
)

const (
	// longestLatency is the highest latency that histograms distinguish, in
	// microseconds: twice the longest timeout of the quick start, 60 s.
	longestLatency = int64(2 * time.Minute / time.Microsecond)
	// latencyDigits is the histograms' precision, in significant digits.
	latencyDigits = 3
	// refreshInterval is how often the hosts to use are requested again.
	refreshInterval = time.Second
	// nearHosts is how many of the nearest hosts share the load, as clients
	// that cache the entries do.
	nearHosts = 3
)

// Class is one kind of request of a load.
type Class struct {
	Name    string
	Service string
	Method  string
	// Path is the path to send to; %d in it is the request's number.
	Path string
	Body string
	// Rate is the arrivals per second; it rises evenly from zero over Ramp.
	Rate float64
	Ramp time.Duration
	// Ticket makes each request take a ticket first; Resend sends such a
	// request again through another host.
	Ticket bool
	Resend bool
	// Timeout is sent with each request; zero leaves it to the service.
	Timeout time.Duration
	// Echo means that a response contains its request's path, so that a
	// response to another request is noticed.
	Echo bool
}

// Lookups are short requests.
func Lookups(service string, rate float64) Class {
	return Class{Name: "lookups", Service: service, Method: http.MethodGet, Path: "/tracks/%d", Rate: rate, Echo: true}
}

// Bookings are requests with tickets, each sent twice by two hosts.
func Bookings(service string, rate float64) Class {
	return Class{Name: "bookings", Service: service, Method: http.MethodPost, Path: "/bookings", Body: "{}", Rate: rate, Ticket: true, Resend: true}
}

// Options are a load.
type Options struct {
	// Entry is the address for clients of any host.
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

// checkLoopback returns an error for every address that is not loopback.
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

// run is a load that is being sent.
type run struct {
	options Options
	client  *http.Client
	// hosts are the addresses of the hosts to use, the nearest first.
	hosts   atomic.Pointer[[]string]
	slots   chan struct{} // one for each outstanding request
	skipped atomic.Int64
	wrong   atomic.Int64
	wait    sync.WaitGroup

	mu       sync.Mutex
	verdicts map[string]string // the last verdict by ticket
}

// Run sends a load and waits for all responses. It fails if the options have a
// fault, if no host can be found, or if a ledger can't be read.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	r := &run{
		options: o, slots: make(chan struct{}, maxOutstanding), verdicts: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOutstanding}},
	}
	if err := r.discover(ctx); err != nil {
		return Report{}, err
	}
	runCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	go r.keepDiscovering(runCtx)
	began := time.Now()
	var classes []*classRun
	var arrivals sync.WaitGroup
	for _, c := range o.Classes {
		cr := newClassRun(c)
		classes = append(classes, cr)
		arrivals.Go(func() { r.arrive(runCtx, ctx, cr) })
	}
	arrivals.Wait()
	r.wait.Wait()
	report := Report{Seconds: time.Since(began).Seconds(), Skipped: int(r.skipped.Load()), Wrong: int(r.wrong.Load())}
	for _, cr := range classes {
		report.Results = append(report.Results, cr.finish())
	}
	err := r.readLedgers(ctx, &report)
	return report, err
}
