package docscheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// page is one Markdown page.
type page struct {
	// path is relative to the root, with slashes.
	path string
	text string
}

// loadPages reads README.md and all pages under docs. It skips incident reports, because
// they describe the system at the time of the incident.
func loadPages(t *testing.T) []page {
	t.Helper()
	pages := []page{readPage(t, "README.md")}
	err := filepath.WalkDir(filepath.Join(root, "docs"), func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && d.Name() == "incidents" {
			return fs.SkipDir
		}
		if filepath.Ext(path) == ".md" {
			rel, err := filepath.Rel(root, path)
			if err != nil {
				return err
			}
			pages = append(pages, readPage(t, filepath.ToSlash(rel)))
		}
		return nil
	})
	require.NoError(t, err)
	return pages
}

func readPage(t *testing.T, path string) page {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, path))
	require.NoError(t, err)
	return page{path: path, text: string(text)}
}

var (
	inlineCode = regexp.MustCompile("`([^`]+)`")
	inlineLink = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	indented   = regexp.MustCompile(`^(    |\t)`)
)

// code returns the pieces of code on the page: inline code and the lines of indented and
// fenced blocks. Fenced blocks with a language are omitted, because they are files or the
// output of a program.
func (p page) code() []string {
	var pieces, prose []string
	fenced, skipped := false, false
	for line := range strings.Lines(p.text) {
		if lang, ok := strings.CutPrefix(strings.TrimSpace(line), "```"); ok {
			fenced = !fenced
			skipped = fenced && lang != ""
			continue
		}
		switch {
		case fenced && skipped:
		case fenced, indented.MatchString(line):
			pieces = append(pieces, line)
		default:
			prose = append(prose, line)
		}
	}
	for _, m := range inlineCode.FindAllStringSubmatch(strings.Join(prose, ""), -1) {
		pieces = append(pieces, m[1])
	}
	return pieces
}

// links returns the targets of the page's links within the repository.
func (p page) links() []string {
	var targets []string
	for _, m := range inlineLink.FindAllStringSubmatch(p.text, -1) {
		if !strings.Contains(m[1], "://") {
			targets = append(targets, m[1])
		}
	}
	return targets
}

// hasLinkTarget reports whether the file of a link exists and, if the link has an anchor,
// whether the file has a heading for the anchor.
func (p page) hasLinkTarget(t *testing.T, link string) bool {
	t.Helper()
	path, anchor, _ := strings.Cut(link, "#")
	target := p.path
	if path != "" {
		target = filepath.ToSlash(filepath.Join(filepath.Dir(p.path), path))
	}
	if !exists(root, target) {
		return false
	}
	return anchor == "" || readPage(t, target).hasAnchor(anchor)
}

var notInAnchor = regexp.MustCompile(`[^a-z0-9 _-]`)

// hasAnchor reports whether a heading of the page has the anchor. Anchors are derived from
// headings as Git hosting services do.
func (p page) hasAnchor(anchor string) bool {
	for line := range strings.Lines(p.text) {
		heading, ok := strings.CutPrefix(line, "#")
		if !ok {
			continue
		}
		heading = strings.ToLower(strings.TrimSpace(strings.TrimLeft(heading, "#")))
		if strings.ReplaceAll(notInAnchor.ReplaceAllString(heading, ""), " ", "-") == anchor {
			return true
		}
	}
	return false
}

// table returns the cells of the first table under a heading, by row and without the
// header.
func (p page) table(t *testing.T, heading string) [][]string {
	t.Helper()
	_, section, ok := strings.Cut(p.text, "\n## "+heading+"\n")
	require.True(t, ok, "%s has no section %q", p.path, heading)
	var rows [][]string
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") {
			break
		}
		if strings.HasPrefix(line, "|") {
			rows = append(rows, cells(line))
		} else if len(rows) > 0 {
			break
		}
	}
	require.Greater(t, len(rows), 2, "%s has no table under %q", p.path, heading)
	return rows[2:]
}

func cells(row string) []string {
	parts := strings.Split(strings.Trim(row, "|"), "|")
	for i, part := range parts {
		parts[i] = strings.TrimSpace(part)
	}
	return parts
}

// codeIn returns the pieces of inline code in a cell.
func codeIn(cell string) []string {
	var found []string
	for _, m := range inlineCode.FindAllStringSubmatch(cell, -1) {
		found = append(found, m[1])
	}
	return found
}
