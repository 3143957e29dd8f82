package configcheck

import (
	"strings"

	"cairndock/internal/gateway/account"
)

// accountWarnings returns accounts without any route and limits that refuse every request.
func accountWarnings(d Document, regions []string) []Finding {
	anywhere, allowed := false, map[string]bool{}
	for i := range d.Routes {
		anywhere = anywhere || len(d.Routes[i].Regions) == 0
		for _, region := range d.Routes[i].Regions {
			allowed[region] = true
		}
	}
	var all []Finding
	for i := range d.Accounts {
		a := &d.Accounts[i].Account
		homes := d.Names.account(a.Name, d.Names.Regions)
		switch {
		case len(d.Routes) == 0:
			all = append(all, warningf("account-without-route", d.Names.account(a.Name, ""), "there are no routes"))
		case !anywhere && !allowsAny(a, allowed):
			all = append(all, warningf("account-without-route", homes, "no route may be served in %s", strings.Join(a.Regions, ", ")))
		}
		all = append(all, regionWarnings(homes, a.Regions, regions)...)
		if a.Limited() && a.Burst < 1 {
			all = append(all, warningf("burst-below-one", d.Names.account(a.Name, d.Names.Burst), "%g is less than one request", a.Burst))
		}
	}
	return all
}

// allowsAny reports whether an account may be served in one of the regions.
func allowsAny(a *account.Account, regions map[string]bool) bool {
	for _, region := range a.Regions {
		if regions[region] {
			return true
		}
	}
	return len(a.Regions) == 0
}
