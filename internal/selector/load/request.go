package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cairndock/internal/selector/call"
	"cairndock/internal/verdict"
)

// maxKeptBody is the number of bytes of a response's body that are kept for
// comparison. The echo responses of the stand-ins are far shorter.
const maxKeptBody = 4 << 10

// takeTicket requests a ticket from a host. It returns "" after any error. The
// request is then sent without a ticket: its outcome is counted, but it is not
// compared with the ledgers.
func (r *run) takeTicket(ctx context.Context, host, service string) string {
	var out struct {
		Ticket string `json:"ticket"`
	}
	// After an error out.Ticket is empty.
	_ = r.request(ctx, http.MethodPost, "http://"+host+"/v1/tickets?service="+service, &out)
	return out.Ticket
}

// outcome is the outcome of one request.
type outcome struct {
	// verdict is a host's verdict, responded or broken.
	verdict string
	// zone is the upstream's zone, or "" if unknown.
	zone string
	// bytes is the length of the body.
	bytes int64
	// body is the start of the body, at most maxKeptBody bytes.
	body []byte
}

// send sends request i of a class through a host.
func (r *run) send(ctx context.Context, host string, c Class, i int, ticket string) outcome {
	path := c.Path
	if strings.Contains(path, "%d") {
		path = fmt.Sprintf(path, i)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+host+"/s/"+c.Service+path, bytes.NewReader([]byte(c.Body)))
	if err != nil {
		return outcome{verdict: broken}
	}
	if ticket != "" {
		req.Header.Set(call.HeaderTicket, ticket)
	}
	if c.Timeout > 0 {
		req.Header.Set(call.HeaderTimeout, c.Timeout.String())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{verdict: broken}
	}
	defer resp.Body.Close()
	out := readOutcome(resp)
	if c.Echo && out.verdict == responded && !bytes.Contains(out.body, []byte(strconv.Quote(path))) {
		r.wrongResponses.Add(1)
	}
	return out
}

// readOutcome reads the whole response and keeps the start of its body.
func readOutcome(resp *http.Response) outcome {
	out := outcome{verdict: responded}
	out.zone, _, _ = strings.Cut(resp.Header.Get(call.HeaderUpstream), "/")
	if v := resp.Header.Get(verdict.Header); v != "" {
		out.verdict = v
	}
	var err error
	if out.body, err = io.ReadAll(io.LimitReader(resp.Body, maxKeptBody)); err == nil {
		out.bytes, err = io.Copy(io.Discard, resp.Body)
	}
	out.bytes += int64(len(out.body))
	if err != nil {
		out.verdict = broken
	}
	return out
}
