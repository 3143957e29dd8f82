package configcheck

import "fmt"

// Kind is the kind of a finding.
type Kind string

const (
	// Error is what a gateway refuses.
	Error Kind = "error"
	// Warning is what a gateway accepts, but is probably not intended.
	Warning Kind = "warning"
	// Difference is what changes from the configuration in force.
	Difference Kind = "difference"
)

// Finding is one result of a check.
type Finding struct {
	Kind Kind `json:"kind"`
	// Code identifies the reason, such as "unreachable".
	Code string `json:"code"`
	// Place is the path of the value in the document. It is empty for the whole document.
	Place string `json:"place"`
	// Text says what was found. It contains no key of an account in full.
	Text string `json:"text"`
	// Line and Column are the position in the file, from 1; 0 if it is not known.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
}

func warningf(code, place, format string, args ...any) Finding {
	return Finding{Kind: Warning, Code: code, Place: place, Text: fmt.Sprintf(format, args...)}
}

func differencef(code, place, format string, args ...any) Finding {
	return Finding{Kind: Difference, Code: code, Place: place, Text: fmt.Sprintf(format, args...)}
}
