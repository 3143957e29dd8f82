package docscheck

import (
	"go/ast"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// metricsPage is the page that explains metrics and log lines.
const metricsPage = "docs/operations/metrics.md"

// The commands that register metrics and write logs.
const (
	gateway = "gateway"
	serve   = "serve"
)

// metric is what the code says of a metric.
type metric struct {
	// commands are those that register it, and labels the names of its
	// labels, both in order.
	commands, labels []string
}

var (
	metricName  = regexp.MustCompile(`^cairndock_[a-z_]+`)
	metricLabel = regexp.MustCompile(`[{,]([a-z_]+)=`)
)

// metricNames gives the metrics that the code names, from the expressions
// that hold a literal beginning with the common prefix.
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

// commandOf gives the command that a file belongs to.
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

// literalExpressions gives the text of each string literal, and of each sum
// the literals in it joined.
func literalExpressions(file *ast.File) []string {
	var texts []string
	ast.Inspect(file, func(n ast.Node) bool {
		e, ok := n.(ast.Expr)
		if !ok {
			return true
		}
		text, ok := joined(e)
		if ok {
			texts = append(texts, text)
		}
		return !ok
	})
	return texts
}

// joined joins the literals of a literal or of a sum that has one.
func joined(e ast.Expr) (string, bool) {
	sum, ok := e.(*ast.BinaryExpr)
	if !ok {
		return literal(e)
	}
	left, okLeft := joined(sum.X)
	right, okRight := joined(sum.Y)
	return left + right, okLeft || okRight
}

func TestMetricsPageListsEveryMetric(t *testing.T) {
	want := loadSource(t).metrics
	listed := map[string]bool{}
	for _, row := range readPage(t, metricsPage).table(t, "Metrics") {
		require.Len(t, row, 6, row)
		names := codeIn(row[0])
		require.Len(t, names, 1, "one metric a row: %v", row)
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

// requireSame fails for each name that is in the code or on the page alone.
func requireSame[V any](t *testing.T, what string, code map[string]V, page map[string]bool) {
	t.Helper()
	require.NotEmpty(t, code)
	for _, name := range sortedKeys(code) {
		if !page[name] {
			t.Errorf("the %s %q is in the code and not on the page", what, name)
		}
	}
	for _, name := range sortedKeys(page) {
		if _, ok := code[name]; !ok {
			t.Errorf("the %s %q is on the page and not in the code", what, name)
		}
	}
}
