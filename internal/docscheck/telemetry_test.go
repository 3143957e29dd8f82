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
			t.Errorf("%s is listed, and not in the code", name)
			continue
		}
		require.Equal(t, strings.Join(m.commands, ", "), row[1], "commands of %s", name)
		require.Equal(t, m.labels, codeIn(row[3]), "labels of %s", name)
		require.NotEmpty(t, row[4], "unit of %s", name)
		require.NotEmpty(t, row[5], "meaning of %s", name)
	}
	require.Equal(t, sortedKeys(want), sortedKeys(listed), "metrics in the code, and listed")
}

// fieldMethods are the methods of a log line that add a field by name.
var fieldMethods = map[string]bool{
	"Str": true, "Strs": true, "Int": true, "Int64": true, "Uint64": true, "Float64": true, "Bool": true, "Dur": true,
}

// gatewayEvents gives the values of the field "event" in the gateway's log,
// and the names of all its fields.
func gatewayEvents(s *source) (events, fields map[string]bool) {
	events, fields = map[string]bool{}, map[string]bool{"level": true, "message": true}
	for _, f := range s.files {
		if f.isTest() || commandOf(f) != gateway {
			continue
		}
		inLog := strings.HasPrefix(f.path, "internal/gateway/eventlog/")
		ast.Inspect(f.ast, func(n ast.Node) bool {
			c, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			method, _ := calledMethod(c)
			switch {
			case inLog && fieldMethods[method] && len(c.Args) == 2:
				addField(c, events, fields)
			case inLog && method == "Err":
				fields["error"] = true
			case inLog && (method == "stateChange" || method == "request"), method == "Process":
				addLiteral(events, c.Args[0])
			}
			return true
		})
	}
	return events, fields
}

// addField notes a field, and the event where the field is the event's name.
func addField(c *ast.CallExpr, events, fields map[string]bool) {
	name, ok := literal(c.Args[0])
	if !ok {
		return
	}
	fields[name] = true
	if name == "event" {
		addLiteral(events, c.Args[1])
	}
}

func addLiteral(set map[string]bool, e ast.Expr) {
	if text, ok := literal(e); ok {
		set[text] = true
	}
}

func TestMetricsPageListsEveryEventOfTheGateway(t *testing.T) {
	wantEvents, wantFields := gatewayEvents(loadSource(t))
	events, fields := map[string]bool{}, map[string]bool{}
	p := readPage(t, metricsPage)
	for _, row := range p.table(t, "Log events of the gateway") {
		require.Len(t, row, 3, row)
		for _, name := range codeIn(row[0]) {
			events[name] = true
		}
		require.NotEmpty(t, row[1], row)
	}
	for _, row := range p.table(t, "Fields of the gateway's log") {
		require.Len(t, row, 3, row)
		for _, name := range codeIn(row[0]) {
			fields[name] = true
		}
		require.NotEmpty(t, row[1], "unit of %v", row)
		require.NotEmpty(t, row[2], "meaning of %v", row)
	}
	require.Equal(t, sortedKeys(wantEvents), sortedKeys(events), "events in the code, and listed")
	require.Equal(t, sortedKeys(wantFields), sortedKeys(fields), "fields in the code, and listed")
}

// serveMessages gives the messages of the log of serve.
func serveMessages(s *source) map[string]bool {
	messages := map[string]bool{}
	for _, f := range s.files {
		if f.isTest() || commandOf(f) != serve {
			continue
		}
		ast.Inspect(f.ast, func(n ast.Node) bool {
			c, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			if method, _ := calledMethod(c); method == "Msg" && len(c.Args) == 1 {
				addLiteral(messages, c.Args[0])
			}
			return true
		})
	}
	return messages
}

func TestMetricsPageListsEveryLogLineOfServe(t *testing.T) {
	listed := map[string]bool{}
	for _, row := range readPage(t, metricsPage).table(t, "Log lines of serve") {
		require.Len(t, row, 4, row)
		for _, message := range codeIn(row[0]) {
			listed[message] = true
		}
		require.NotEmpty(t, row[3], "meaning of %v", row)
	}
	require.Equal(t, sortedKeys(serveMessages(loadSource(t))), sortedKeys(listed), "messages in the code, and listed")
}

// verdictReasons gives the reasons of final responses.
func verdictReasons(s *source) map[string]bool {
	reasons := map[string]bool{}
	for _, f := range s.files {
		if f.isTest() || !strings.HasPrefix(f.path, "internal/verdict/") {
			continue
		}
		ast.Inspect(f.ast, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok {
				return true
			}
			if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Reason" {
				addLiteral(reasons, spec.Values[0])
			}
			return false
		})
	}
	return reasons
}

func TestOperationsPageExplainsEveryReason(t *testing.T) {
	listed := map[string]bool{}
	for _, row := range readPage(t, "docs/OPERATIONS.md").table(t, "Reasons") {
		for _, reason := range codeIn(row[0]) {
			listed[reason] = true
		}
	}
	require.Equal(t, sortedKeys(verdictReasons(loadSource(t))), sortedKeys(listed), "reasons in the code, and listed")
}
