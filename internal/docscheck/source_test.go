package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// root is the path of the repository's root, relative to this package.
const root = "../.."

// sourceFile is one parsed Go file.
type sourceFile struct {
	// path is relative to the root, with slashes.
	path string
	ast  *ast.File
}

func (f sourceFile) isTest() bool { return strings.HasSuffix(f.path, "_test.go") }

// source has the Go files of the module and the names in them that pages may use.
type source struct {
	files []sourceFile
	// tests has the names of tests, benchmarks and fuzz tests.
	tests map[string]bool
	// identifiers has the names of all declarations and fields.
	identifiers map[string]bool
	// members has "package.Name" and "package.Type.Member", by package name.
	members map[string]bool
	// literals has the values of all string literals.
	literals map[string]bool
	// commands and flags are the names of the commands and flags of the command line.
	commands, flags map[string]bool
	// settings has the keys of TOML files without their sections.
	settings map[string]bool
	metrics  map[string]*metric
}

var testName = regexp.MustCompile(`^(Test|Benchmark|Fuzz)[A-Z]`)

// parsed parses the Go code of the repository once for all tests. The tests must not
// modify the result.
var parsed = sync.OnceValues(parseSource)

// loadSource returns the parsed Go code of the repository.
func loadSource(t *testing.T) *source {
	t.Helper()
	s, err := parsed()
	require.NoError(t, err)
	require.NotEmpty(t, s.commands)
	require.NotEmpty(t, s.flags)
	require.NotEmpty(t, s.settings)
	return s
}

func parseSource() (*source, error) {
	s := &source{
		tests: map[string]bool{}, identifiers: map[string]bool{}, members: map[string]bool{}, literals: map[string]bool{},
		commands: map[string]bool{}, flags: map[string]bool{}, settings: map[string]bool{},
	}
	set := token.NewFileSet()
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal") {
			return fs.SkipDir
		}
		if d.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution|parser.ParseComments)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		s.add(sourceFile{path: filepath.ToSlash(rel), ast: file})
		return nil
	})
	if err != nil {
		return nil, err
	}
	s.metrics = metricNames(s)
	return s, nil
}

func (s *source) add(f sourceFile) {
	s.files = append(s.files, f)
	inCommands := strings.HasPrefix(f.path, "cmd/") && !f.isTest()
	for _, decl := range f.ast.Decls {
		s.addDecl(f, decl)
	}
	ast.Inspect(f.ast, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.BasicLit:
			if text, ok := literal(n); ok && !strings.HasPrefix(f.path, "internal/docscheck/") {
				s.literals[text] = true
			}
		case *ast.Field:
			for _, name := range n.Names {
				s.identifiers[name.Name] = true
			}
			if key := settingsKey(n.Tag); key != "" && !f.isTest() {
				s.settings[key] = true
			}
		case *ast.CallExpr:
			if name, ok := flagName(n); inCommands && ok {
				s.flags[name] = true
			}
		}
		return true
	})
}

func (s *source) addDecl(f sourceFile, decl ast.Decl) {
	pkg := strings.TrimSuffix(f.ast.Name.Name, "_test")
	switch d := decl.(type) {
	case *ast.FuncDecl:
		name := d.Name.Name
		s.identifiers[name] = true
		switch {
		case d.Recv != nil:
			s.members[pkg+"."+receiver(d)+"."+name] = true
		case f.isTest() && testName.MatchString(name):
			s.tests[name] = true
		default:
			s.members[pkg+"."+name] = true
		}
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			s.addSpec(pkg, spec)
		}
	}
}

func (s *source) addSpec(pkg string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.identifiers[name.Name] = true
			s.members[pkg+"."+name.Name] = true
			if pkg == "cmd" && name.Name == "commands" {
				s.addCommands(spec.Values[0])
			}
		}
	case *ast.TypeSpec:
		s.identifiers[spec.Name.Name] = true
		s.members[pkg+"."+spec.Name.Name] = true
		for _, field := range fields(spec.Type) {
			for _, name := range field.Names {
				s.members[pkg+"."+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// addCommands adds the commands of the table in package cmd. The first field of each row
// is the name.
func (s *source) addCommands(table ast.Expr) {
	for _, command := range table.(*ast.CompositeLit).Elts {
		name, ok := command.(*ast.CompositeLit).Elts[0].(*ast.BasicLit)
		if !ok {
			continue
		}
		if text, ok := literal(name); ok {
			s.commands[text] = true
		}
	}
}

// fields returns the fields of a struct type or the methods of an interface type.
func fields(e ast.Expr) []*ast.Field {
	switch e := e.(type) {
	case *ast.StructType:
		return e.Fields.List
	case *ast.InterfaceType:
		return e.Methods.List
	default:
		return nil
	}
}

func receiver(d *ast.FuncDecl) string {
	e := d.Recv.List[0].Type
	if pointer, ok := e.(*ast.StarExpr); ok {
		e = pointer.X
	}
	if index, ok := e.(*ast.IndexExpr); ok {
		e = index.X
	}
	if id, ok := e.(*ast.Ident); ok {
		return id.Name
	}
	return ""
}

// literal returns the value of a string literal.
func literal(e ast.Expr) (string, bool) {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(lit.Value)
	return text, err == nil
}

// flagName returns the name of the flag in a call such as f.StringVar(&v, "name", ...).
func flagName(c *ast.CallExpr) (string, bool) {
	name, ok := calledMethod(c)
	if !ok || !strings.HasSuffix(name, "Var") || len(c.Args) < 3 {
		return "", false
	}
	return literal(c.Args[1])
}

// calledMethod returns Name for a call x.Name(...).
func calledMethod(c *ast.CallExpr) (string, bool) {
	selector, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	return selector.Sel.Name, true
}

// settingsKey returns the key of a field in settings files, or "" if it has none.
func settingsKey(tag *ast.BasicLit) string {
	if tag == nil {
		return ""
	}
	text, _ := literal(tag) // a tag is always a string
	key, _, _ := strings.Cut(reflect.StructTag(text).Get("toml"), ",")
	return key
}

// exists reports whether a file or folder exists at the joined path.
func exists(elem ...string) bool {
	_, err := os.Stat(filepath.Join(elem...))
	return err == nil
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
