package main

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"tarragonhead.example/tarragonhead/internal/server"
)

// TestDocumentedFlags guards against a flag that the operations page does not
// document, and against a documented flag that does not exist.
func TestDocumentedFlags(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "\n## Settings of tarragond\n")
	c.Assert(found, qt.IsTrue)
	text, _, _ := strings.Cut(rest, "\n## ")
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\|").FindAllStringSubmatch(text, -1) {
		documented = append(documented, m[1])
	}
	var exist []string
	for _, f := range newApp(&server.Settings{}).Model().Flags {
		if f.Name != "help" && !f.Hidden {
			exist = append(exist, f.Name)
		}
	}
	slices.Sort(documented)
	slices.Sort(exist)
	c.Assert(documented, qt.DeepEquals, slices.Compact(exist))
}
