package wire_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	glossaryFile    = "../../docs/glossary.md"
	glossarySection = "## Wire names\n"
)

// TestGlossaryListsEveryWireName compares the encoded field names of this package with
// the table of docs/glossary.md: each name has one row, and each row a name.
func TestGlossaryListsEveryWireName(t *testing.T) {
	fields := encodedNames(t)
	if len(fields) == 0 {
		t.Fatal("no encoded fields found")
	}
	rows := glossaryRows(t)
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if rows[name] == 0 {
			t.Errorf("%s: no row for %q, which is a field of %s", glossaryFile, name, fields[name])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if fields[name] == "" {
			t.Errorf("%s: row for %q, which is the name of no field", glossaryFile, name)
		}
		if rows[name] > 1 {
			t.Errorf("%s: %d rows for %q", glossaryFile, rows[name], name)
		}
	}
}

// encodedNames returns the names under which the package's struct fields are encoded,
// each with the Go name of a type that has it.
func encodedNames(t *testing.T) map[string]string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]string{}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(source, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				addEncodedNames(t, names, spec)
			}
			return true
		})
	}
	return names
}

// addEncodedNames adds the encoded names of all fields within a type's declaration.
func addEncodedNames(t *testing.T, names map[string]string, spec *ast.TypeSpec) {
	t.Helper()
	ast.Inspect(spec, func(n ast.Node) bool {
		field, ok := n.(*ast.Field)
		if !ok || field.Tag == nil {
			return true
		}
		tag, err := strconv.Unquote(field.Tag.Value)
		if err != nil {
			t.Fatalf("tag of %s: %v", spec.Name.Name, err)
		}
		name, _, _ := strings.Cut(reflect.StructTag(tag).Get("msgpack"), ",")
		if name != "" && name != "-" {
			names[name] = spec.Name.Name
		}
		return true
	})
}

// glossaryRow is a row with a name, its standard term and its meaning.
var glossaryRow = regexp.MustCompile("^\\| `([^`]+)` \\| *[^| ][^|]*\\| *[^| ][^|]*\\|$")

// glossaryRows counts the rows of the table of wire names by the name they describe.
func glossaryRows(t *testing.T) map[string]int {
	t.Helper()
	page, err := os.ReadFile(glossaryFile)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(page), glossarySection)
	if !found {
		t.Fatalf("%s has no section %q", glossaryFile, glossarySection)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	rows := map[string]int{}
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		match := glossaryRow.FindStringSubmatch(line)
		if match == nil {
			t.Errorf("%s: not a row of name, term and meaning: %s", glossaryFile, line)
			continue
		}
		rows[match[1]]++
	}
	return rows
}
