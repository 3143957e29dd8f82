package cmd

import (
	"bytes"
	"io"
	"maps"
	"os"
	"slices"

	"cairndock/internal/gateway"
	"cairndock/internal/gateway/configcheck"
	"cairndock/internal/selector/config"
)

// The kinds of a configuration.
const (
	kindServe    = "serve"
	kindPlatform = "platform"
)

// kindOf returns the kind of a configuration. No TOML document begins with a brace.
func kindOf(value []byte) string {
	if bytes.HasPrefix(bytes.TrimLeft(value, " \t\r\n"), []byte("{")) {
		return kindPlatform
	}
	return kindServe
}

// readInput reads a file, or standard input if the name is "-".
func readInput(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

func serveFindings(value []byte) []configcheck.Finding {
	_, err := config.ParseDocument(value)
	return faultFindings(err)
}

// gatewayFindings returns the errors of a gateway's settings and the regions of its zones,
// which are nil if there are errors or no zones.
func gatewayFindings(path string) ([]configcheck.Finding, []string) {
	set, err := gateway.LoadSettings(path)
	if err != nil || len(set.Zones) == 0 {
		return faultFindings(err), nil
	}
	return nil, slices.Compact(slices.Sorted(maps.Values(set.Zones)))
}

// faultFindings returns a finding for each of the errors that err joins.
func faultFindings(err error) []configcheck.Finding {
	if err == nil {
		return nil
	}
	errs := []error{err}
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		errs = joined.Unwrap()
	}
	findings := make([]configcheck.Finding, 0, len(errs))
	for _, err := range errs {
		findings = append(findings, configcheck.Finding{Kind: configcheck.Error, Code: "refused", Text: err.Error()})
	}
	return findings
}
