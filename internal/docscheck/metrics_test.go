package docscheck

import (
	"go/ast"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// metricsPage is the page that documents metrics and log lines.
const metricsPage = "docs/operations/metrics.md"

// The commands that register metrics and write logs.
const (
	gateway = "gateway"
	serve   = "serve"
)

// metric is a metric as found in the code.
type metric struct {
	// commands are the commands that register the metric, and labels the names of its
	// labels. Both are sorted.
	commands, labels []string
}

var (
	metricName  = regexp.MustCompile(`^cairndock_[a-z_]+`)
	metricLabel = regexp.MustCompile(`[{,]([a-z_]+)=`)
)

// metricNames returns the metrics in the code by name. It finds them in string
// expressions that start with the common prefix.
func metricNames(s *source) map[string]*metric {
	found := map[string]*metric{}
	for _, f := range s.files {
		if f.isTest() {
			continue
		}
		for _, text := range literalExpressions(f.ast) {
			name := metricName.FindString(text)
			if name == "" {
				continue
			}
			m := found[name]
			if m == nil {
				m = &metric{}
				found[name] = m
			}
			m.commands = insert(m.commands, commandOf(f))
			for _, label := range metricLabel.FindAllStringSubmatch(text, -1) {
				m.labels = insert(m.labels, label[1])
			}
		}
	}
	return found
}

// commandOf returns the command to which a file belongs.
func commandOf(f sourceFile) string {
	if strings.HasPrefix(f.path, "internal/selector/") || f.path == "cmd/serve.go" {
		return serve
	}
	return gateway
}

func insert(sorted []string, s string) []string {
	at, ok := slices.BinarySearch(sorted, s)
	if ok {
		return sorted
	}
	return slices.Insert(sorted, at, s)
}

// literalExpressions returns the text of each string literal. For a concatenation with
// literals, it returns one text with all of them.
func literalExpressions(file *ast.File) []string {
	var texts []string
	ast.Inspect(file, func(n ast.Node) bool {
		e, ok := n.(ast.Expr)
		if !ok {
			return true
		}
		text, ok := joinLiterals(e)
		if ok {
			texts = append(texts, text)
		}
		return !ok
	})
	return texts
}

// joinLiterals returns the text of a literal, or the literals of a concatenation joined.
// It reports whether there is any literal.
func joinLiterals(e ast.Expr) (string, bool) {
	sum, ok := e.(*ast.BinaryExpr)
	if !ok {
		return literal(e)
	}
	left, leftOK := joinLiterals(sum.X)
	right, rightOK := joinLiterals(sum.Y)
	return left + right, leftOK || rightOK
}

func TestMetricsPageListsEveryMetric(t *testing.T) {
	want := loadSource(t).metrics
	listed := map[string]bool{}
	for _, row := range readPage(t, metricsPage).table(t, "Metrics") {
		require.Len(t, row, 6, row)
		names := codeIn(row[0])
		require.Len(t, names, 1, "each row must have one metric: %v", row)
		name := names[0]
		require.False(t, listed[name], "%s is listed twice", name)
		listed[name] = true
		m := want[name]
		if m == nil {
			continue // reported below
		}
		require.Equal(t, strings.Join(m.commands, ", "), row[1], "commands of %s", name)
		require.Equal(t, m.labels, codeIn(row[3]), "labels of %s", name)
		require.NotEmpty(t, row[4], "unit of %s", name)
		require.NotEmpty(t, row[5], "meaning of %s", name)
	}
	requireSame(t, "metric", want, listed)
}

// requireSame reports an error for each name that is only in the code or only on the
// page.
func requireSame[V any](t *testing.T, kind string, code map[string]V, page map[string]bool) {
	t.Helper()
	require.NotEmpty(t, code)
	for _, name := range sortedKeys(code) {
		if !page[name] {
			t.Errorf("the %s %q is in the code but not on the page", kind, name)
		}
	}
	for _, name := range sortedKeys(page) {
		if _, ok := code[name]; !ok {
			t.Errorf("the %s %q is on the page but not in the code", kind, name)
		}
	}
}
