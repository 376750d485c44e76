package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// place is a file of internal/ with the functions that a document names in it, such as
// `core/owner/placement.go`: `place`, `bind`.
var place = regexp.MustCompile("`([a-z0-9_/]+\\.go)`(?:: ((?:`[A-Za-z]+`(?:, )?)+))?")

// TestArchitectureNamesTheCode expects each file that docs/architecture.md names to be
// there, and to declare the functions that the page names with it.
func TestArchitectureNamesTheCode(t *testing.T) {
	page, err := os.ReadFile("architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	places := place.FindAllStringSubmatch(string(page), -1)
	if len(places) < 50 {
		t.Fatalf("only %d places found", len(places))
	}
	for _, found := range places {
		file := filepath.Join("..", "internal", found[1])
		source, err := os.ReadFile(file)
		if err != nil {
			t.Error(err)
			continue
		}
		for name := range strings.SplitSeq(found[2], ",") {
			name = strings.Trim(name, "` ")
			if name == "" {
				continue
			}
			declaration := regexp.MustCompile(`(?m)^func (\([^)]+\) )?` + name + `\(`)
			if !declaration.Match(source) {
				t.Errorf("%s declares no function %s", file, name)
			}
		}
	}
}
