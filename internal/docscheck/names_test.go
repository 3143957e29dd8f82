// Package docscheck has only tests. They compare README.md and the pages under docs with
// the code. They fail if a page names a package, file, test, flag, setting, metric or log
// line that does not exist, and if a metric or log line is not documented.
package docscheck

import (
	"maps"
	"path"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// allowed has names that pages may use although they do not exist in the repository,
// each with the reason.
var allowed = map[string]string{
	"admin/metrics": "is the platform's name of a listener and a path there",
	"PORT/PATH":     "stands for such a name",
	"status/":       "is a table of the platform's store",
	"--day-cap":     "is a flag of the users' bench, not of this program",
	"--most":        "is a flag of the users' bench, not of this program",
	"--jobs":        "is a flag of the users' bench, not of this program",
	"--days":        "is a flag of the users' bench, not of this program",
}

// transient has paths that exist only at times, each with the reason. Pages may use them
// whether or not they exist at present.
var transient = map[string]string{
	"KNOWN-RED.txt":    "exists only while a test is known to fail",
	"target/cairndock": "is what the build writes",
	"target/":          "is where the build writes",
}

// kind is a kind of name that pages use.
type kind struct {
	name string
	// pattern matches the names in a piece of code. If the pattern has a group, the
	// group is the name.
	pattern *regexp.Regexp
	// exists reports whether a name used by a page in the folder dir exists.
	exists func(s *source, dir, name string) bool
}

// kinds has all kinds of names that are checked. A pattern that starts with ^ is matched
// against each word of a piece of code, any other against the whole piece.
var kinds = []kind{
	{"command", regexp.MustCompile(`(?:\bcairndock|\bgo run \.) ([a-z]+)`), func(s *source, _, name string) bool {
		return s.commands[name]
	}},
	{"flag", regexp.MustCompile(`(?:^|[\s\[(])(--[a-z][a-z-]*)`), func(s *source, _, name string) bool {
		return s.flags[strings.TrimPrefix(name, "--")]
	}},
	{"test", regexp.MustCompile(`\b(?:Test|Benchmark|Fuzz)[A-Z]\w*`), func(s *source, _, name string) bool {
		return s.tests[name]
	}},
	{"metric", regexp.MustCompile(`\bcairndock_[a-z_]+`), func(s *source, _, name string) bool {
		return s.metrics[name] != nil
	}},
	{"path", regexp.MustCompile(`^\.?[A-Za-z][\w.-]*(?:/[\w.-]*)+$|^[\w-]+\.(?:go|md|toml|tmpl|txt)$|^\./[\w./-]*$`), isPath},
	{"member", regexp.MustCompile(`\b[a-z][a-z0-9]*(?:\.[A-Z]\w*)+`), func(s *source, _, name string) bool {
		return s.members[name]
	}},
	{"setting", regexp.MustCompile(`^(?:[a-z_]+)?\.[a-z_]+$`), isSetting},
	{"identifier", regexp.MustCompile(`^[A-Z]+[a-z0-9]+(?:[A-Z]\w*)?$|^[a-z]+(?:[A-Z][a-z]\w*)$`), func(s *source, _, name string) bool {
		return testName.MatchString(name) || s.identifiers[name] || s.literals[name]
	}},
	{"environment", regexp.MustCompile(`\b[A-Z]+_[A-Z]+\b`), func(s *source, _, name string) bool {
		return s.literals[name]
	}},
	{"header", regexp.MustCompile(`\b(?:X-)?Cairndock(?:-[A-Z]\w+)+`), func(s *source, _, name string) bool {
		return s.literals[name]
	}},
}

// isPath reports whether a file or folder exists at the path relative to the root or to
// the page's folder. A package pattern ends with three dots.
func isPath(_ *source, dir, name string) bool {
	name = strings.TrimSuffix(name, "/...")
	if name == "./..." || name == "." {
		return true
	}
	return exists(root, name) || exists(root, dir, name)
}

// isSetting reports whether each part of a dotted key is a key of a settings file. A key
// that starts with a dot omits its section. File names are accepted, because they are
// checked as paths.
func isSetting(s *source, _, name string) bool {
	if path.Ext(name) == ".md" || path.Ext(name) == ".go" || path.Ext(name) == ".toml" || path.Ext(name) == ".txt" {
		return true
	}
	for part := range strings.SplitSeq(strings.TrimPrefix(name, "."), ".") {
		if !s.settings[part] {
			return false
		}
	}
	return true
}

// missingName is a name that does not exist.
type missingName struct{ kind, name string }

// missing returns the names on a page that do not exist. It adds the exceptions that the
// page needs to used.
func (p page) missing(s *source, used map[string]bool) []missingName {
	var missingNames []missingName
	for _, piece := range p.code() {
		for _, k := range kinds {
			for _, name := range k.find(piece) {
				if transient[name] != "" {
					used[name] = true
					continue
				}
				if k.exists(s, path.Dir(p.path), name) {
					continue
				}
				if allowed[name] != "" {
					used[name] = true
					continue
				}
				missingNames = append(missingNames, missingName{k.name, name})
			}
		}
	}
	return missingNames
}

// find returns the names of a kind in a piece of code.
func (k kind) find(piece string) []string {
	pieces := []string{piece}
	if strings.HasPrefix(k.pattern.String(), "^") {
		pieces = words(piece)
	}
	var names []string
	for _, p := range pieces {
		for _, m := range k.pattern.FindAllStringSubmatch(p, -1) {
			names = append(names, m[len(m)-1])
		}
	}
	return names
}

// words splits a piece of code into words. It removes the punctuation around them, except
// for the dots of a package pattern.
func words(piece string) []string {
	var all []string
	for word := range strings.FieldsSeq(piece) {
		word = strings.Trim(word, `'"()[]|,;:`)
		if !strings.HasSuffix(word, "/...") {
			word = strings.TrimRight(word, ".")
		}
		all = append(all, word)
	}
	return all
}

func TestPagesNameOnlyWhatExists(t *testing.T) {
	s := loadSource(t)
	used := map[string]bool{}
	for _, p := range loadPages(t) {
		missingNames := p.missing(s, used) // for all pages, even if -run selects one, because used must be complete
		t.Run(p.path, func(t *testing.T) {
			for _, f := range missingNames {
				t.Errorf("%s names the %s %q, which does not exist", p.path, f.kind, f.name)
			}
		})
	}
	exceptions := maps.Clone(allowed)
	maps.Copy(exceptions, transient)
	require.Equal(t, sortedKeys(exceptions), sortedKeys(used), "the exceptions differ from those that pages need")
}

func TestLinksHaveAnExistingTarget(t *testing.T) {
	for _, p := range loadPages(t) {
		t.Run(p.path, func(t *testing.T) {
			for _, link := range p.links() {
				if _, ok := transient[path.Base(link)]; !ok && !p.hasLinkTarget(t, link) {
					t.Errorf("%s links to %q, which does not exist", p.path, link)
				}
			}
		})
	}
}

// citedPage matches the path of a page in a comment.
var citedPage = regexp.MustCompile(`docs/[\w/.-]+\.md`)

func TestCommentsCiteOnlyPagesThatExist(t *testing.T) {
	for _, f := range loadSource(t).files {
		for _, group := range f.ast.Comments {
			for _, cited := range citedPage.FindAllString(group.Text(), -1) {
				if !exists(root, cited) {
					t.Errorf("a comment in %s cites %s, which does not exist", f.path, cited)
				}
			}
		}
	}
}

// citedName matches an exported name with its package, as comments cite names.
var citedName = regexp.MustCompile(`(?:^|[\s(])(([a-z]\w+)\.[A-Z]\w*)`)

func TestCommentsCiteOnlyNamesThatExist(t *testing.T) {
	s := loadSource(t)
	modulePackages := map[string]bool{}
	for _, f := range s.files {
		modulePackages[strings.TrimSuffix(f.ast.Name.Name, "_test")] = true
	}
	for _, f := range s.files {
		for _, group := range f.ast.Comments {
			for _, cited := range citedName.FindAllStringSubmatch(group.Text(), -1) {
				if modulePackages[cited[2]] && !s.members[cited[1]] {
					t.Errorf("a comment in %s cites %s, which does not exist", f.path, cited[1])
				}
			}
		}
	}
}

func TestMissingNameIsFound(t *testing.T) {
	s := loadSource(t)
	for _, c := range []struct {
		name, text string
		want       []missingName
	}{
		{"command", "`cairndock serve` and `cairndock fly`", []missingName{{"command", "fly"}}},
		{"command by go run", "    go run . fly --once", []missingName{{"command", "fly"}}},
		{"flag", "`serve --settings FILE --wings`", []missingName{{"flag", "--wings"}}},
		{"test", "`go test -run 'TestSoak|TestFlight'`", []missingName{{"test", "TestFlight"}}},
		{"metric", "`cairndock_flights_total{reason=\"full\"}`", []missingName{{"metric", "cairndock_flights_total"}}},
		{"package", "`internal/verdict` and `internal/wings`", []missingName{{"path", "internal/wings"}}},
		{"packages", "    go test ./internal/wings/...", []missingName{{"path", "./internal/wings/..."}}},
		{"file", "`main.go`, `wings.go`", []missingName{{"path", "wings.go"}}},
		{"member", "`verdict.NotRun`, `verdict.Error.Wings`", []missingName{{"member", "verdict.Error.Wings"}}},
		{"setting", "`host.name`, `.zone`, `host.wings`", []missingName{{"setting", "host.wings"}}},
		{"identifier", "`RetryAfter`, `wingSpan`", []missingName{{"identifier", "wingSpan"}}},
		{"environment", "`CAIRNDOCK_TOKEN=x` `CAIRNDOCK_WINGS=x`", []missingName{{"environment", "CAIRNDOCK_WINGS"}}},
		{"header", "`Cairndock-Verdict`, `Cairndock-Wings`", []missingName{{"header", "Cairndock-Wings"}}},
		{"fenced block", "```\ninternal/wings\n```\n", []missingName{{"path", "internal/wings"}}},
		{"output", "```log\ninternal/wings\n```\n", nil},
		{"prose", "the internal/wings of it", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := page{path: "docs/page.md", text: c.text}
			require.Equal(t, c.want, p.missing(s, map[string]bool{}))
		})
	}
}

func TestBrokenLinkIsFound(t *testing.T) {
	p := page{path: "docs/page.md", text: "# The page\n\n## Who owns it?\n"}
	for _, c := range []struct {
		link string
		want bool
	}{
		{"../README.md", true},
		{"findings.md", true},
		{"wings.md", false},
		{"../README.md#test-it", true},
		{"../README.md#wings", false},
	} {
		require.Equal(t, c.want, p.hasLinkTarget(t, c.link), c.link)
	}
	require.True(t, p.hasAnchor("who-owns-it"))
	require.False(t, p.hasAnchor("who"))
}
