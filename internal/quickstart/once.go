package quickstart

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	"cairndock/internal/call"
	"cairndock/internal/verdict"
)

const (
	onceLookups  = 300
	onceBookings = 60
	onceWorkers  = 8
	// highestLatency bounds the histogram, in microseconds.
	highestLatency = int64(time.Minute / time.Microsecond)
	ranUpstream    = "answered"
)

// Report is what one round of requests showed.
type Report struct {
	Requests int
	Verdicts map[string]int
	Zones    map[string]int
	Latency  *hdrhistogram.Histogram
	// Broken names each promise that was broken.
	Broken []string
}

type round struct {
	system *System
	client *http.Client
	mu     sync.Mutex
	report Report
	// resends pairs a ticket with the verdict its caller got last.
	tickets map[string]string
}

// Once sends a few hundred requests through the real listeners: lookups,
// and bookings with tickets that are each sent twice, by two hosts.
func Once(ctx context.Context, s *System) (Report, error) {
	r := &round{
		system: s, client: &http.Client{Timeout: 10 * time.Second}, tickets: map[string]string{},
		report: Report{Verdicts: map[string]int{}, Zones: map[string]int{}, Latency: hdrhistogram.New(1, highestLatency, 3)},
	}
	jobs := make(chan int)
	errs := make(chan error, onceWorkers)
	for range onceWorkers {
		go func() { errs <- r.work(ctx, jobs) }()
	}
	for i := range onceLookups + onceBookings {
		jobs <- i
	}
	close(jobs)
	var failed error
	for range onceWorkers {
		if err := <-errs; err != nil {
			failed = err
		}
	}
	r.checkPromises()
	return r.report, failed
}

func (r *round) work(ctx context.Context, jobs <-chan int) error {
	var failed error
	for i := range jobs {
		var err error
		if i < onceLookups {
			err = r.lookup(ctx, i)
		} else {
			err = r.booking(ctx, i)
		}
		if err != nil {
			failed = err
		}
	}
	return failed
}

func (r *round) addr(i int) string {
	return "http://" + r.system.Servers[i%len(r.system.Servers)].CallerAddr()
}

func (r *round) lookup(ctx context.Context, i int) error {
	path := fmt.Sprintf("/tracks/%d", i)
	body, _, err := r.send(ctx, http.MethodGet, r.addr(i)+"/s/planning"+path, "", "")
	if err == nil && body != "" && !strings.Contains(body, `"path":"`+path+`"`) {
		r.broke("a caller got another's answer: asked %s, got %s", path, body)
	}
	return err
}

func (r *round) booking(ctx context.Context, i int) error {
	text, err := r.ticket(ctx, i)
	if err != nil {
		return err
	}
	body := fmt.Sprintf(`{"slot":%d}`, i)
	first, v1, err := r.send(ctx, http.MethodPost, r.addr(i)+"/s/planning/bookings", text, body)
	if err != nil {
		return err
	}
	second, v2, err := r.send(ctx, http.MethodPost, r.addr(i+1)+"/s/planning/bookings", text, body)
	if err != nil {
		return err
	}
	if v1 == ranUpstream && (v2 != ranUpstream || first != second) {
		r.broke("a resend got another answer: %q (%s), then %q (%s)", first, v1, second, v2)
	}
	r.mu.Lock()
	r.tickets[text] = v2
	r.mu.Unlock()
	return nil
}

func (r *round) ticket(ctx context.Context, i int) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.addr(i)+"/v1/tickets?service=planning", nil)
	if err != nil {
		return "", eris.Wrap(err, "make request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return "", eris.Wrap(err, "take ticket")
	}
	defer resp.Body.Close()
	var out struct {
		Ticket string `json:"ticket"`
	}
	return out.Ticket, eris.Wrap(json.NewDecoder(resp.Body).Decode(&out), "read ticket")
}

func (r *round) send(ctx context.Context, method, url, ticket, body string) (string, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", "", eris.Wrap(err, "make request")
	}
	if ticket != "" {
		req.Header.Set(call.HeaderTicket, ticket)
	}
	began := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return "", "", eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", "", eris.Wrap(err, "read answer")
	}
	v := resp.Header.Get(verdict.Header)
	if v == "" {
		v = ranUpstream
	}
	label := v
	if v != ranUpstream {
		var p struct {
			Title string `json:"title"`
		}
		_ = json.Unmarshal(answer, &p)
		label += " (" + p.Title + ")"
	}
	r.count(label, resp.Header.Get(call.HeaderUpstream), time.Since(began))
	if v != ranUpstream {
		return "", v, nil
	}
	return string(answer), v, nil
}

func (r *round) count(v, upstream string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	r.report.Verdicts[v]++
	if zone, _, ok := strings.Cut(upstream, "/"); ok {
		r.report.Zones[zone]++
	}
	_ = r.report.Latency.RecordValue(took.Microseconds())
}

func (r *round) broke(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, args...))
}

// checkPromises reads the upstreams' own ledgers.
func (r *round) checkPromises() {
	for _, u := range r.system.Upstreams {
		if l := u.Ledger(); l.Over > 0 {
			r.broke("%s got %d requests beyond its slots", l.Name, l.Over)
		}
	}
	for text, v := range r.tickets {
		runs := 0
		for _, u := range r.system.Upstreams {
			runs += u.Runs(text)
		}
		if runs > 1 {
			r.broke("a booking ran %d times", runs)
		}
		if runs > 0 && v == verdict.NotRun.String() {
			r.broke("a booking said to be not run had run")
		}
	}
}

// Print writes the report as a table.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "requests\t%d\n", r.Requests)
	for _, name := range sortedNames(r.Verdicts) {
		fmt.Fprintf(t, "verdict %s\t%d\n", name, r.Verdicts[name])
	}
	for _, name := range sortedNames(r.Zones) {
		fmt.Fprintf(t, "zone %s\t%.1f%%\n", name, 100*float64(r.Zones[name])/float64(max(1, r.Requests)))
	}
	fmt.Fprintf(t, "p50\t%s\n", time.Duration(r.Latency.ValueAtPercentile(50))*time.Microsecond)
	fmt.Fprintf(t, "p99\t%s\n", time.Duration(r.Latency.ValueAtPercentile(99))*time.Microsecond)
	for _, text := range r.Broken {
		fmt.Fprintf(t, "BROKEN\t%s\n", text)
	}
	_ = t.Flush()
}

func sortedNames(m map[string]int) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
