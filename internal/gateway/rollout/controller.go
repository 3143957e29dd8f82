package rollout

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/upstream"
)

const (
	// ReportInterval is the time between the reports of a host while a roll-out runs.
	ReportInterval = 250 * time.Millisecond
	// canaryExchange is how many reports apart the regions exchange evidence in the
	// phase Canary, in which the target gets few requests. Each exchange costs two calls
	// of the store.
	canaryExchange = 2
	// decideDelay is how long a region waits for each region before it to store a change,
	// so that one region usually does. A roll-back is stored by all at once.
	decideDelay = 400 * time.Millisecond
)

// ErrConflict reports that a record was not stored, because another host has changed it or
// the order is not the one in force.
var ErrConflict = eris.New("the record or the order was changed")

// RegionEvidence is the evidence of the hosts of a region as it is stored (JSON).
type RegionEvidence struct {
	Service  string   `json:"service"`
	Region   string   `json:"region"`
	Order    int64    `json:"order"`
	Evidence Evidence `json:"evidence"`
	// Confirmed is set when all hosts of the region have confirmed, for the revision of
	// the record, that no request is in flight at other versions.
	Confirmed bool  `json:"confirmed,omitempty"`
	Revision  int64 `json:"revision,omitempty"`
}

// Store keeps the records and the evidence of the regions.
type Store interface {
	// Advance stores a record, if the stored one still has the record's revision and the
	// order is in force, or is not if withdrawn is set. The error matches ErrConflict if
	// a condition does not hold. The stored record arrives by the watched table.
	Advance(ctx context.Context, r Record, withdrawn bool) error
	PutEvidence(ctx context.Context, e RegionEvidence) error
	Evidence(ctx context.Context) ([]RegionEvidence, error)
	// Now returns the time by the store's clock, in milliseconds, and false before the
	// store has told it.
	Now() (ms int64, known bool)
}

// Hosts is what a Controller needs to know of the other hosts.
type Hosts interface {
	// SendReport sends a report to the host that collects this host's reports, and
	// returns its reply. If this host collects the reports of its region, collects is
	// set.
	SendReport(ctx context.Context, r Report) (reply Reply, collects bool, err error)
	// AllConfirmed reports whether the sum of confirmations is that of all hosts of the
	// region that may have requests in flight.
	AllConfirmed(sum uint64) bool
}

// ControllerOptions are the dependencies of a Controller.
type ControllerOptions struct {
	Table  *Table
	Store  Store
	Hosts  Hosts
	Region string
	// Regions are all regions, sorted.
	Regions []string
	// Upstreams returns the current upstreams.
	Upstreams func() *upstream.Set
	// MaxRequest returns the longest time that a request of a service may take.
	MaxRequest func(service string) time.Duration
	Limits     Limits
}

// Controller reports this host's evidence, and decides about roll-outs if this host
// collects the reports of its region.
type Controller struct {
	ControllerOptions
	decisions map[string]*decision
	// reportFailed and exchangeFailed are set while reports and exchanges of evidence
	// fail.
	reportFailed, exchangeFailed bool
}

// decision is the state of the decisions about one order.
type decision struct {
	order Order
	// all compares the evidence of all regions, and own that of this region, which is
	// known also while the store is out of reach.
	all, own *Judge
	found    Finding
	rounds   int
	// total and confirmed are the evidence and confirmations of all regions when they
	// were last read.
	total     Evidence
	confirmed bool
	// wanted is the next phase that this host would store, and since when.
	wanted Phase
	since  time.Time
}

// NewController returns a controller.
func NewController(o ControllerOptions) *Controller {
	return &Controller{ControllerOptions: o, decisions: map[string]*decision{}}
}

// Run reports and decides until the context ends.
func (c *Controller) Run(ctx context.Context) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.Step(ctx, time.Now())
	}
}

// Step makes one report and, if this host collects the reports of its region, decides. Run calls it
// several times per second.
func (c *Controller) Step(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, reportTTL)
	defer cancel()
	report := c.Table.Report(now)
	if len(report) == 0 {
		clear(c.decisions)
		return
	}
	reply, collects, err := c.Hosts.SendReport(ctx, report)
	if c.observeError(&c.reportFailed, "report", err); err != nil {
		return // the next report replaces this one
	}
	if !collects {
		c.Table.Apply(reply, now)
		return
	}
	for _, service := range slices.Sorted(maps.Keys(report)) {
		c.decide(ctx, service, report[service], now)
	}
}

// decide evaluates the evidence of a service, and stores the next record if one is due.
func (c *Controller) decide(ctx context.Context, service string, report ServiceReport, now time.Time) {
	record, withdrawn, unsaved := c.Table.progress(service)
	clock, known := c.Store.Now()
	if !known || report.Order != record.Version {
		return
	}
	d := c.decision(record.Order)
	if unsaved {
		c.save(ctx, d, record, withdrawn, clock, now)
		return
	}
	c.evaluate(ctx, d, record, report)
	slow := slowThresholds(report.Evidence, record, clock)
	c.Table.Apply(Reply{service: {Order: record.Version, Slow: slow.Any, SlowRepeated: slow.Repeated, SlowFirst: slow.First, Suspend: d.found.Bad}}, now)
	next, due := Next(c.situation(d, record, withdrawn, clock))
	if due && c.isTurn(d, next, now) {
		c.store(ctx, next, withdrawn)
	}
}

func (c *Controller) decision(o Order) *decision {
	d := c.decisions[o.Service]
	if d == nil || !d.order.isSame(o) {
		d = &decision{order: o, all: NewJudge(), own: NewJudge()}
		c.decisions[o.Service] = d
	}
	return d
}

// save stores a record that the store does not have: the first one of an order, or one that
// a restored store has lost.
func (c *Controller) save(ctx context.Context, d *decision, r Record, withdrawn bool, clock int64, now time.Time) {
	if r.StartedAt == 0 {
		r.StartedAt, r.ChangedAt = clock, clock
	}
	if withdrawn && !r.Phase.Final() {
		r = r.WithPhase(RolledBack, "the order was withdrawn", clock)
	}
	if c.isTurn(d, r, now) {
		c.store(ctx, r, withdrawn)
	}
}

// evaluate exchanges evidence with the other regions when that is due, and compares the
// versions.
func (c *Controller) evaluate(ctx context.Context, d *decision, r Record, report ServiceReport) {
	if found := d.own.Observe(report.Evidence); found.Bad {
		d.found = found
	}
	d.rounds++
	if r.Phase == Canary && d.rounds%canaryExchange != 0 && !d.found.Bad {
		return
	}
	own := RegionEvidence{
		Service: r.Service, Region: c.Region, Order: r.Version, Evidence: report.Evidence, Revision: r.Revision,
		Confirmed: r.Phase == Shift && report.Revision == r.Revision && c.Hosts.AllConfirmed(report.Confirmed),
	}
	regions, err := c.exchange(ctx, own)
	if c.observeError(&c.exchangeFailed, "evidence", err); err != nil {
		return // the next exchange follows soon
	}
	d.total, d.confirmed = c.sum(regions, r)
	if found := d.all.Observe(d.total); found.Bad {
		d.found = found
	}
}

// exchange stores the evidence of this region and returns that of all.
func (c *Controller) exchange(ctx context.Context, own RegionEvidence) ([]RegionEvidence, error) {
	if len(c.Regions) == 1 {
		return []RegionEvidence{own}, nil
	}
	if err := c.Store.PutEvidence(ctx, own); err != nil {
		return nil, err
	}
	return c.Store.Evidence(ctx)
}

// observeError tells the observer about an error of what is repeated several times per second:
// only the first one until it succeeds again. failed is set while it fails.
func (c *Controller) observeError(failed *bool, what string, err error) {
	if err != nil && !*failed {
		c.Table.options.Observer.RolloutNotReported(what, err)
	}
	*failed = err != nil
}

// sum returns the evidence of all regions, and whether all have confirmed the record's
// revision.
func (c *Controller) sum(regions []RegionEvidence, r Record) (total Evidence, confirmed bool) {
	confirmations := 0
	for _, region := range regions {
		if region.Service != r.Service || region.Order != r.Version {
			continue
		}
		total = total.plus(region.Evidence)
		if region.Confirmed && region.Revision == r.Revision && slices.Contains(c.Regions, region.Region) {
			confirmations++
		}
	}
	return total, confirmations == len(c.Regions)
}

func (c *Controller) situation(d *decision, r Record, withdrawn bool, clock int64) Situation {
	s := Situation{
		Record: r, Withdrawn: withdrawn, Now: clock, Evidence: d.total, Finding: d.found, Drained: d.confirmed,
		MaxRequest: c.MaxRequest(r.Service), Limits: c.Limits,
	}
	for _, u := range c.Upstreams().Service(r.Service) {
		switch {
		case u.SoftwareVersion == r.Target:
			s.Target.add(u)
		case !slices.Contains(r.Excluded, u.SoftwareVersion):
			s.Others.add(u)
		}
	}
	return s
}

// add adds an upstream to the sum.
func (u *Upstreams) add(one *upstream.Upstream) {
	u.Count++
	if !one.Cold(time.Now()) {
		u.Capacity += one.Capacity
	}
	if i, known := slices.BinarySearch(u.Versions, one.SoftwareVersion); !known {
		u.Versions = slices.Insert(u.Versions, i, one.SoftwareVersion)
	}
}

// isTurn reports whether this host shall store a change now. The hosts of the first region
// do so at once, and those of the others if the change is still due later.
func (c *Controller) isTurn(d *decision, next Record, now time.Time) bool {
	if d.wanted != next.Phase {
		d.wanted, d.since = next.Phase, now
	}
	if next.Phase == RolledBack {
		return true
	}
	order := max(0, slices.Index(c.Regions, c.Region))
	return now.Sub(d.since) >= time.Duration(order)*decideDelay
}

// store stores a record. After a conflict, the record of the other host arrives by the
// watched table, as this host's own does.
func (c *Controller) store(ctx context.Context, r Record, withdrawn bool) {
	err := c.Store.Advance(ctx, r, withdrawn)
	if err != nil && !errors.Is(err, ErrConflict) {
		c.Table.options.Observer.RolloutWriteFailed(r, err)
	}
}
