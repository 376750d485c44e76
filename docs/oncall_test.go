package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// TestOnCallPageListsAllWarnings expects a row in operations-oncall.md for each log message
// at WARN and above, with cause and action, and no row for a message that is not logged.
func TestOnCallPageListsAllWarnings(t *testing.T) {
	logged := loggedWarnings(t)
	if len(logged) < 20 {
		t.Fatalf("only %d messages found", len(logged))
	}
	page, err := os.ReadFile("operations-oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (WARN|ERROR) \\| ([^|]+) \\| ([^|]+) \\|$").FindAllStringSubmatch(string(page), -1) {
		message, level := row[1], row[2]
		if rows[message] {
			t.Errorf("two rows for %q", message)
		}
		rows[message] = true
		if logged[message] != level {
			t.Errorf("row for %q at %s, logged at %q", message, level, logged[message])
		}
	}
	for message, level := range logged {
		if !rows[message] {
			t.Errorf("no row for %q, logged at %s", message, level)
		}
	}
}

// TestOnCallPageNamesLoggedMessages expects each message below WARN in a table of
// operations-oncall.md to be logged at that level.
func TestOnCallPageNamesLoggedMessages(t *testing.T) {
	logged := loggedMessages(t, "Debug", "Info")
	page, err := os.ReadFile("operations-oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (DEBUG|INFO) \\|").FindAllStringSubmatch(string(page), -1)
	if len(rows) == 0 {
		t.Fatal("no rows")
	}
	for _, row := range rows {
		if message, level := row[1], row[2]; logged[message] != level {
			t.Errorf("row for %q at %s, logged at %q", message, level, logged[message])
		}
	}
}

// loggedWarnings returns the messages that the program logs at WARN and above, with their
// levels.
func loggedWarnings(t *testing.T) map[string]string {
	t.Helper()
	return loggedMessages(t, "Warn", "Error")
}

// loggedMessages returns the messages that the program logs by some methods of a logger, with
// their levels.
func loggedMessages(t *testing.T, methods ...string) map[string]string {
	t.Helper()
	out := map[string]string{}
	for _, root := range []string{"../internal", "../cmd"} {
		err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() {
				if entry.Name() == "testkit" {
					return fs.SkipDir
				}
				return nil
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return nil
			}
			return addMessages(out, path, methods)
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return out
}

// addMessages adds the messages of one file: calls of the methods whose first argument is a text.
func addMessages(out map[string]string, path string, methods []string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !slices.Contains(methods, method.Sel.Name) {
			return true
		}
		text, ok := call.Args[0].(*ast.BasicLit)
		if !ok || text.Kind != token.STRING {
			return true
		}
		if message, err := strconv.Unquote(text.Value); err == nil {
			out[message] = strings.ToUpper(method.Sel.Name)
		}
		return true
	})
	return nil
}
