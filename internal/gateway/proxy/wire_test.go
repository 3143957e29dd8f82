package proxy_test

import (
	"cmp"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/exchange"
	"cairndock/internal/gateway/notice"
	"cairndock/internal/gateway/proxy"
	"cairndock/internal/gateway/rollout"
	"cairndock/internal/gateway/route"
	"cairndock/internal/gateway/routing"
	"cairndock/internal/gateway/upstream"
	"cairndock/internal/verdict"
)

// This file contains the tests' own protocol. Its headers and rows differ from the platform's,
// so that proxy is tested without package platform.

// Headers of the tests' protocol.
const (
	headerID     = "Id"
	headerKey    = "Key"
	headerWait   = "Wait-Ms"
	headerSigned = "Genuine"
	headerNotRun = "Not-Run"
	headerTo     = "To"
	// headerSecret is the key of a client account, and headerAccount is the account's
	// name as sent to upstreams.
	headerSecret  = "Secret"
	headerAccount = "Account"
	// headerLimit is the upstream's limit, in requests per second.
	headerLimit = "Limit"
	// headerLeaving announces that the upstream is leaving.
	headerLeaving = "Leaving"
	// headerBackoff is the time for which the upstream requests a backoff.
	headerBackoff = "Rest"
	// headerPanic makes an attempt panic.
	headerPanic = "Panic"
)

// codec is the tests' proxy.Codec.
type codec struct{}

func (codec) ParseRequest(h http.Header) proxy.RequestInfo {
	ms, _ := strconv.Atoi(h.Get(headerWait)) // zero when it is missing
	return proxy.RequestInfo{
		ID: h.Get(headerID), Key: h.Get(headerKey), Credential: h.Get(headerSecret), Credentials: len(h.Values(headerSecret)),
		Timeout: time.Duration(ms) * time.Millisecond,
	}
}

func (codec) SetAccount(h http.Header, name string) {
	h.Del(headerSecret)
	h.Del(headerAccount)
	if name != "" {
		h.Set(headerAccount, name)
	}
}

func (codec) WriteError(w http.ResponseWriter, _ proxy.RequestInfo, e *verdict.Error) int {
	w.Header().Set("Verdict", e.Verdict.String())
	w.Header().Set("Reason", string(e.Reason))
	w.Header().Set("Retry", e.RetryAfter.String())
	w.WriteHeader(e.Reason.Status())
	return e.Reason.Status()
}

// protocol is the tests' exchange.Protocol.
type protocol struct{}

func (protocol) SetHeaders(h http.Header, id string, left time.Duration) {
	if h.Get(headerPanic) != "" {
		panic("requested by the test")
	}
	h.Set(headerTo, id)
	h.Set(headerWait, strconv.FormatInt(left.Milliseconds(), 10))
}

func (protocol) ParseResponse(id string, status int, h http.Header) exchange.ResponseInfo {
	var n notice.Notice
	if limit, err := strconv.ParseFloat(h.Get(headerLimit), 64); err == nil {
		n = n.WithLimit(notice.LimitOf(limit))
	}
	if backoff, err := time.ParseDuration(h.Get(headerBackoff)); err == nil {
		n = n.WithBackoff(backoff)
	}
	if h.Get(headerLeaving) != "" {
		n = n.WithLeaving()
	}
	return exchange.ResponseInfo{
		Notice:       n,
		WrongRequest: h.Get(headerID) != id, NotExecuted: h.Get(headerNotRun) != "", Misdirected: status == 421,
		Signed: h.Get(headerSigned) != "",
	}
}

// decoder decodes the tests' rows, which are JSON of the program's own types.
type decoder struct{}

// operatorRow is a configuration or, if Evacuate is set, a zone to evacuate.
type operatorRow struct {
	Version  int64
	Routes   []route.Route
	Evacuate string
	// Limits are the limits of client connections. The limit on headers is always the same,
	// and so is that on bodies unless it is set.
	Limits route.Limits
	// Accounts is nil if requests need no account.
	Accounts []account.Entry
}

func (decoder) OperatorRow(_ string, value []byte) (routing.OperatorRow, error) {
	var r operatorRow
	if err := json.Unmarshal(value, &r); err != nil {
		return routing.OperatorRow{}, eris.Wrap(err, "parse")
	}
	if r.Evacuate != "" {
		return routing.OperatorRow{Evacuate: r.Evacuate}, nil
	}
	services := []route.Service{{Name: "s", WarmUp: time.Second, WarmUpRate: 5}}
	r.Limits.BodyBytes, r.Limits.HeaderBytes = cmp.Or(r.Limits.BodyBytes, 1000), 2000
	table := route.NewTable(r.Version, r.Routes, services, r.Limits)
	if r.Accounts == nil {
		return routing.OperatorRow{Table: table}, nil
	}
	accounts, err := account.NewSet(r.Accounts)
	return routing.OperatorRow{Table: table.WithAccounts(accounts)}, err
}

func (decoder) Upstream(_ string, value []byte) (upstream.Registration, error) {
	var in upstream.Registration
	return in, eris.Wrap(json.Unmarshal(value, &in), "parse")
}

func (decoder) Rollout(string, []byte) (rollout.Record, error) {
	return rollout.Record{}, eris.New("there are no roll-outs")
}
