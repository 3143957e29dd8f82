package load

import (
	"context"
	"net/http"

	"cairndock/internal/verdict"
)

// readLedgers compares the verdicts that clients received with the requests in
// the upstreams' ledgers, and adds the violations to report.
func (r *run) readLedgers(ctx context.Context, report *Report) error {
	runs := map[string]int{}
	for _, addr := range r.options.Upstreams {
		var ledger struct {
			Over int `json:"over"`
		}
		if err := r.request(ctx, http.MethodGet, "http://"+addr+"/ledger", &ledger); err != nil {
			return err
		}
		report.Over += ledger.Over
		var byTicket map[string]int
		if err := r.request(ctx, http.MethodGet, "http://"+addr+"/ledger?tickets=all", &byTicket); err != nil {
			return err
		}
		for ticket, n := range byTicket {
			runs[ticket] += n
		}
	}
	for ticket, v := range r.verdicts {
		if runs[ticket] > 1 {
			report.RanTwice++
		}
		if runs[ticket] > 0 && v == verdict.NotRun.String() {
			report.RanDespiteNotRun++
		}
	}
	return nil
}
