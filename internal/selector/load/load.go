// Package load sends a bounded open-loop load to a running system and holds
// what callers were told against the upstreams' ledgers.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"cairndock/internal/verdict"
)

const (
	// MaxDuration, MaxRate and MaxOutstanding bound every load.
	MaxDuration    = 10 * time.Minute
	MaxRate        = 100_000
	MaxOutstanding = 4_000
	// highest is the longest latency told apart, in microseconds.
	highest = int64(2 * time.Minute / time.Microsecond)
	digits  = 3
	// refresh is how often the entries are asked for.
	refresh = time.Second
)

// Class is one kind of request within a load.
type Class struct {
	Name    string
	Service string
	Method  string
	// Path is the target; %d in it is the request's number.
	Path string
	Body string
	// Rate is the arrivals per second, reached over Ramp from nothing.
	Rate float64
	Ramp time.Duration
	// Ticket makes each request take a ticket first, and Resend makes it
	// go out twice by two hosts.
	Ticket bool
	Resend bool
	// Timeout is told to the system; zero leaves it to the service.
	Timeout time.Duration
	// Echo says that the answer holds the request's path, so that an answer
	// to another request is seen.
	Echo bool
}

// Options are a load.
type Options struct {
	// Entry is the caller address of any host.
	Entry    string
	Classes  []Class
	Duration time.Duration
	// Upstreams are the addresses whose ledgers are read at the end.
	Upstreams []string
}

// Check gives the faults of the options.
func (o Options) Check() error {
	if o.Duration <= 0 || o.Duration > MaxDuration {
		return eris.Errorf("duration must be above 0 and at most %s", MaxDuration)
	}
	sum := 0.0
	for _, c := range o.Classes {
		sum += c.Rate
	}
	if sum <= 0 || sum > MaxRate {
		return eris.Errorf("rates must add up to above 0 and at most %d", MaxRate)
	}
	for _, addr := range append([]string{o.Entry}, o.Upstreams...) {
		if err := loopback(addr); err != nil {
			return err
		}
	}
	return nil
}

// loopback refuses every target but the own machine.
func loopback(addr string) error {
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

type classRun struct {
	class    Class
	mu       sync.Mutex
	result   Result
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

type run struct {
	options Options
	client  *http.Client
	hosts   atomic.Pointer[[]string]
	slots   chan struct{}
	skipped atomic.Int64
	wrong   atomic.Int64
	wait    sync.WaitGroup

	mu      sync.Mutex
	tickets map[string]string // ticket to the last verdict told
}

// Run sends a load and waits for all answers.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.Check(); err != nil {
		return Report{}, err
	}
	r := &run{
		options: o, slots: make(chan struct{}, MaxOutstanding), tickets: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: MaxOutstanding}},
	}
	if err := r.lookUp(ctx); err != nil {
		return Report{}, err
	}
	runCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	go r.keepLookingUp(runCtx)
	began := time.Now()
	var classes []*classRun
	var arrivals sync.WaitGroup
	for _, c := range o.Classes {
		cr := &classRun{
			class: c, answered: hdrhistogram.New(1, highest, digits), refused: hdrhistogram.New(1, highest, digits),
			result: Result{Class: c.Name, Verdicts: map[string]int{}, Zones: map[string]int{}},
		}
		classes = append(classes, cr)
		arrivals.Go(func() { r.arrive(runCtx, ctx, cr) })
	}
	arrivals.Wait()
	r.wait.Wait()
	report := Report{Seconds: time.Since(began).Seconds(), Skipped: int(r.skipped.Load()), Wrong: int(r.wrong.Load())}
	for _, cr := range classes {
		report.Results = append(report.Results, cr.finish())
	}
	return report, r.readLedgers(ctx, &report)
}

// lookUp asks for the hosts to use, as callers do.
func (r *run) lookUp(ctx context.Context) error {
	url := "http://" + r.options.Entry + "/v1/entries?service=" + r.options.Classes[0].Service
	if known := r.hosts.Load(); known != nil {
		url = "http://" + (*known)[0] + "/v1/entries?service=" + r.options.Classes[0].Service
	}
	var out struct {
		Entries []struct {
			Addr string `json:"addr"`
		} `json:"entries"`
	}
	if err := r.getJSON(ctx, url, &out); err != nil {
		return err
	}
	var hosts []string
	for _, e := range out.Entries {
		if loopback(e.Addr) == nil {
			hosts = append(hosts, e.Addr)
		}
	}
	if len(hosts) == 0 {
		return eris.New("no host on loopback was named")
	}
	r.hosts.Store(&hosts)
	return nil
}

func (r *run) getJSON(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "make request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "ask")
	}
	defer resp.Body.Close()
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "read answer")
}

func (r *run) keepLookingUp(ctx context.Context) {
	ticker := time.NewTicker(refresh)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = r.lookUp(ctx) // the hosts known so far go on being used
		}
	}
}

// dueAt is when a class's request i is due: the rate rises evenly over the
// ramp and stays.
func dueAt(c Class, i int) time.Duration {
	ramp := c.Ramp.Seconds()
	inRamp := c.Rate * ramp / 2
	n := float64(i)
	if n < inRamp {
		return time.Duration(math.Sqrt(2*n*ramp/c.Rate) * float64(time.Second))
	}
	return time.Duration((ramp + (n-inRamp)/c.Rate) * float64(time.Second))
}

func (r *run) arrive(until, ctx context.Context, cr *classRun) {
	began := time.Now()
	for i := 0; ; i++ {
		due := began.Add(dueAt(cr.class, i))
		if d := time.Until(due); d > 0 {
			select {
			case <-until.Done():
				return
			case <-time.After(d):
			}
		}
		if until.Err() != nil {
			return
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.skipped.Add(1)
			continue
		}
		r.wait.Go(func() {
			defer func() { <-r.slots }()
			r.one(ctx, cr, i, due)
		})
	}
}

func (r *run) one(ctx context.Context, cr *classRun, i int, due time.Time) {
	hosts := *r.hosts.Load()
	// The best few hosts share the load, as callers that cache answers do.
	host := hosts[i%min(len(hosts), 3)]
	text := ""
	if cr.class.Ticket {
		text = r.ticket(ctx, host, cr.class.Service)
	}
	got := r.send(ctx, host, cr.class, i, text)
	if cr.class.Resend && text != "" {
		again := r.send(ctx, hosts[(i+1)%len(hosts)], cr.class, i, text)
		if got.verdict == answered && again.verdict == answered && !bytes.Equal(got.body, again.body) {
			r.wrong.Add(1)
		}
		got = again
	}
	if text != "" {
		r.mu.Lock()
		r.tickets[text] = got.verdict
		r.mu.Unlock()
	}
	cr.note(got, time.Since(due))
}

// The verdicts that the load itself gives.
const (
	answered = "answered"
	broken   = "broken connection"
)

// maxBody bounds what is kept of an answer, to compare it.
const maxBody = 4 << 10

func (cr *classRun) note(got reply, took time.Duration) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.result.Offered++
	cr.result.Verdicts[got.verdict]++
	if got.zone != "" {
		cr.result.Zones[got.zone]++
	}
	us := max(1, min(took.Microseconds(), highest))
	if got.verdict != answered {
		_ = cr.refused.RecordValue(us)
		return
	}
	cr.result.Bytes += got.bytes
	_ = cr.answered.RecordValue(us)
}

func (cr *classRun) finish() Result {
	out := cr.result
	out.P50, out.P99 = cr.answered.ValueAtPercentile(50), cr.answered.ValueAtPercentile(99)
	out.P999, out.Max = cr.answered.ValueAtPercentile(99.9), cr.answered.Max()
	out.RefusedP99 = cr.refused.ValueAtPercentile(99)
	return out
}

// readLedgers holds what callers were told against what upstreams ran.
func (r *run) readLedgers(ctx context.Context, report *Report) error {
	runs := map[string]int{}
	for _, addr := range r.options.Upstreams {
		var ledger struct {
			Over int `json:"over"`
		}
		if err := r.getJSON(ctx, "http://"+addr+"/ledger", &ledger); err != nil {
			return err
		}
		report.Over += ledger.Over
		var byTicket map[string]int
		if err := r.getJSON(ctx, "http://"+addr+"/ledger?tickets=all", &byTicket); err != nil {
			return err
		}
		for ticket, n := range byTicket {
			runs[ticket] += n
		}
	}
	for ticket, v := range r.tickets {
		if runs[ticket] > 1 {
			report.RanTwice++
		}
		if runs[ticket] > 0 && v == verdict.NotRun.String() {
			report.ToldNotRun++
		}
	}
	return nil
}
