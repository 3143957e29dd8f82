package docscheck

import (
	"go/ast"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// fieldMethods are the zerolog.Event methods that add a named field.
var fieldMethods = map[string]bool{
	"Str": true, "Strs": true, "Int": true, "Int64": true, "Uint64": true, "Float64": true, "Bool": true, "Dur": true,
}

// eventLog is the path of the package that writes the gateway's log.
const eventLog = "internal/gateway/eventlog/"

// gatewayEvents returns the values of the field "event" in the gateway's log and the
// names of all fields.
func gatewayEvents(s *source) (events, fields map[string]bool) {
	events, fields = map[string]bool{}, map[string]bool{"level": true, "message": true}
	lineStarters, constants := eventLogNames(s)
	for _, f := range s.files {
		if f.isTest() || commandOf(f) != gateway {
			continue
		}
		inLog := strings.HasPrefix(f.path, eventLog)
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
			case inLog && lineStarters[method], method == "Process":
				addText(events, c.Args[0], constants)
			}
			return true
		})
	}
	return events, fields
}

// eventLogNames returns the functions of the log package that start a line (their first
// argument is the event) and the string constants of the package.
func eventLogNames(s *source) (lineStarters map[string]bool, constants map[string]string) {
	lineStarters, constants = map[string]bool{}, map[string]string{}
	for _, f := range s.files {
		if f.isTest() || !strings.HasPrefix(f.path, eventLog) {
			continue
		}
		ast.Inspect(f.ast, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				lineStarters[n.Name.Name] = returnsLine(n)
			case *ast.ValueSpec:
				for i, value := range n.Values {
					if text, ok := literal(value); ok {
						constants[n.Names[i].Name] = text
					}
				}
			}
			return true
		})
	}
	return lineStarters, constants
}

// returnsLine reports whether a function returns a *zerolog.Event.
func returnsLine(d *ast.FuncDecl) bool {
	if d.Type.Results == nil || len(d.Type.Results.List) != 1 {
		return false
	}
	pointer, ok := d.Type.Results.List[0].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	selector, ok := pointer.X.(*ast.SelectorExpr)
	return ok && selector.Sel.Name == "Event"
}

// addField adds the name of a field to fields. If the field is "event", it also adds the
// value to events.
func addField(c *ast.CallExpr, events, fields map[string]bool) {
	name, ok := literal(c.Args[0])
	if !ok {
		return
	}
	fields[name] = true
	if name == "event" {
		addText(events, c.Args[1], nil)
	}
}

// addText adds the value of a string literal or constant to the set.
func addText(set map[string]bool, e ast.Expr, constants map[string]string) {
	text, ok := literal(e)
	if id, isName := e.(*ast.Ident); isName {
		text, ok = constants[id.Name]
	}
	if ok {
		set[text] = true
	}
}

// Guards against events and fields that the page omits, or lists although they were
// removed.
func TestMetricsPageListsEveryEventOfTheGateway(t *testing.T) {
	wantEvents, wantFields := gatewayEvents(loadSource(t))
	events, fields := map[string]bool{}, map[string]bool{}
	p := readPage(t, metricsPage)
	for _, row := range p.table(t, "Log events of the gateway") {
		require.Len(t, row, 3, row)
		for _, name := range codeIn(row[0]) {
			require.False(t, events[name], "%q is listed twice", name)
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
	requireSame(t, "event", wantEvents, events)
	requireSame(t, "field", wantFields, fields)
}

// serveMessages returns the messages in the log of serve.
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
				addText(messages, c.Args[0], nil)
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
			require.False(t, listed[message], "%q is listed twice", message)
			listed[message] = true
		}
		require.NotEmpty(t, row[3], "meaning of %v", row)
	}
	requireSame(t, "message", serveMessages(loadSource(t)), listed)
}

// verdictReasons returns the reasons of final responses.
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
				addText(reasons, spec.Values[0], nil)
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
	requireSame(t, "reason", verdictReasons(loadSource(t)), listed)
}

// traces is the folder of recorded logs of failures and of the output of cairndock trace
// for them.
const traces = "internal/gateway/reqtrace/testdata"

func TestOperationsPageShowsTracesAsRecorded(t *testing.T) {
	recorded := map[string]bool{}
	paths, err := filepath.Glob(filepath.Join(root, traces, "*"))
	require.NoError(t, err)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		for line := range strings.Lines(string(text)) {
			recorded[strings.TrimSpace(line)] = true
		}
	}
	_, block, found := strings.Cut(readPage(t, "docs/OPERATIONS.md").text, "```log\n")
	require.True(t, found)
	for found {
		var rest string
		block, rest, found = strings.Cut(block, "```")
		require.True(t, found, "a block of log lines is not closed")
		for line := range strings.Lines(block) {
			require.True(t, recorded[strings.TrimSpace(line)], "line is not in any recorded log: %s", line)
		}
		_, block, found = strings.Cut(rest, "```log\n")
	}
}
