package quickstart

import (
	"fmt"
	"strings"
)

// document is the configuration that the quick start begins with, as TOML.
func (s *System) document() string {
	var b strings.Builder
	for _, region := range regions {
		for _, zone := range zonesOf(region) {
			fmt.Fprintf(&b, "[[zone]]\nname = %q\nregion = %q\n", zone, region)
		}
	}
	fmt.Fprintf(&b, "[[service]]\nname = %q\nclass = \"interactive\"\nrepeat = \"safe\"\nprefer = \"headroom\"\ntimeout = \"2s\"\nmax_timeout = \"5s\"\n", planning)
	fmt.Fprintf(&b, "[[service]]\nname = %q\nclass = \"bulk\"\nrepeat = \"safe\"\nprefer = \"headroom\"\ntimeout = \"20s\"\nmax_timeout = \"60s\"\n", documents)
	for i, u := range s.Upstreams {
		service, rest, _ := strings.Cut(u.Name, "-")
		zone := rest[:strings.LastIndex(rest, "-")]
		fmt.Fprintf(&b, "[[upstream]]\nname = %q\nservice = %q\nzone = %q\naddr = %q\nslots = %d\nlabels = { tier = \"main\" }\n",
			u.Name, service, zone, s.UpstreamAddrs[i], u.Slots)
	}
	fmt.Fprintf(&b, "[[rule]]\nname = \"planning-costa\"\nservice = %q\nselector = \"region=costa\"\nshare = 0.5\ncap = 0.6\n", planning)
	fmt.Fprintf(&b, "[[rule]]\nname = \"planning-rest\"\nservice = %q\nselector = \"region!=costa\"\nshare = 0.5\n", planning)
	fmt.Fprintf(&b, "[[rule]]\nname = \"documents-all\"\nservice = %q\nselector = \"tier=main\"\nshare = 1.0\n", documents)
	b.WriteString("[[block]]\ncidr = \"127.0.0.0/8\"\nzone = \"costa-a\"\n")
	b.WriteString("[[block]]\ncidr = \"10.2.0.0/16\"\nzone = \"sierra-a\"\n")
	for _, from := range regions {
		for _, to := range regions {
			if from != to {
				fmt.Fprintf(&b, "[[link]]\nfrom = %q\nto = %q\nbytes_per_second = 20_000_000\n", from, to)
			}
		}
	}
	return b.String()
}
