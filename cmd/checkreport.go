package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"unicode"

	"cairndock/internal/gateway/configcheck"
)

// checkedFile is a file with its findings.
type checkedFile struct {
	File     string                `json:"file"`
	Kind     string                `json:"kind"`
	Findings []configcheck.Finding `json:"findings"`
}

// checkReport has the findings of all files of a check.
type checkReport struct {
	Files []checkedFile `json:"files"`
}

func (r *checkReport) add(file, kind string, findings []configcheck.Finding) {
	if findings == nil {
		findings = []configcheck.Finding{} // an empty list in JSON, not null
	}
	r.Files = append(r.Files, checkedFile{File: file, Kind: kind, Findings: findings})
}

// failed reports whether there are errors or, if strict, warnings.
func (r checkReport) failed(strict bool) bool {
	for _, file := range r.Files {
		for _, f := range file.Findings {
			if f.Kind == configcheck.Error || strict && f.Kind == configcheck.Warning {
				return true
			}
		}
	}
	return false
}

// The formats of a report.
const (
	formatText = "text"
	formatJSON = "json"
)

// write writes the report in a format.
func (r checkReport) write(w io.Writer, format string) error {
	if format != formatJSON {
		return r.print(w)
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// print writes a line for each finding below a line for its file.
func (r checkReport) print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, file := range r.Files {
		if len(file.Findings) == 0 {
			fmt.Fprintf(t, "%s: %s: ok\n", file.File, file.Kind)
			continue
		}
		fmt.Fprintf(t, "%s: %s: findings: %d\n", file.File, file.Kind, len(file.Findings))
		for _, f := range file.Findings {
			fmt.Fprintf(t, "%s\t%s\t%s\n", f.Kind, placeOf(f), oneLine(f.Text))
		}
	}
	return t.Flush()
}

// placeOf returns the place of a finding with its line and column, if known.
func placeOf(f configcheck.Finding) string {
	place := f.Place
	if place == "" {
		place = "-"
	}
	if f.Line > 0 {
		place = fmt.Sprintf("%s (line %d, column %d)", place, f.Line, f.Column)
	}
	return oneLine(place)
}

// oneLine replaces control characters, which would break the table or change the terminal.
func oneLine(text string) string {
	if !strings.ContainsFunc(text, unicode.IsControl) {
		return text
	}
	return strings.Map(func(c rune) rune {
		if unicode.IsControl(c) {
			return ' '
		}
		return c
	}, text)
}
