package configcheck

import (
	"fmt"
	"time"

	"cairndock/internal/gateway/account"
	"cairndock/internal/gateway/route"
)

// Document is a decoded configuration without errors.
type Document struct {
	Version int64
	// Routes and Services are in the order in which package route gets them.
	Routes   []route.Route
	Services []route.Service
	// Accounts is nil if requests need no account.
	Accounts []account.Entry
	Limits   route.Limits
	Names    Names
}

// Names are the names of fields in the text of the configuration.
type Names struct {
	Version, Routes, Services, Accounts, Limits                                                   string
	Host, Prefix, Kind, Timeout, Objective, Priority, Attempts, Backends, Sticky, Regions, Public string
	Rate, Burst, Keys                                                                             string
	WarmUp, WarmUpRate                                                                            string
	HeaderBytes, BodyBytes, HeaderTimeout, IdleTimeout                                            string
}

func (n Names) route(name, field string) string   { return place(n.Routes, name, field) }
func (n Names) service(name, field string) string { return place(n.Services, name, field) }
func (n Names) account(name, field string) string { return place(n.Accounts, name, field) }

// place returns the path of a field of an entry, or of the entry if field is empty.
func place(list, name, field string) string {
	if field == "" {
		return fmt.Sprintf("%s.%s", list, name)
	}
	return fmt.Sprintf("%s.%s.%s", list, name, field)
}

func ms(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
