package main

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	qt "github.com/frankban/quicktest"
)

// TestDocumentedFlags guards against a flag or command that the operations page does
// not document, and against a documented flag that does not exist.
func TestDocumentedFlags(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "\n## Commands of tarragonctl\n")
	c.Assert(found, qt.IsTrue)
	text, _, _ := strings.Cut(rest, "\n## ")
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `--([a-z-]+)` \\|").FindAllStringSubmatch(text, -1) {
		documented = append(documented, m[1])
	}
	var exist []string
	add := func(flags []*kingpin.FlagModel) {
		for _, f := range flags {
			if f.Name != "help" && !f.Hidden {
				exist = append(exist, f.Name)
			}
		}
	}
	model := newApp(io.Discard).Model()
	add(model.Flags)
	for _, command := range model.FlattenedCommands() {
		add(command.Flags)
		c.Check(strings.Contains(text, "`"+command.FullCommand), qt.IsTrue, qt.Commentf("command %s is not on the page", command.FullCommand))
	}
	slices.Sort(documented)
	slices.Sort(exist)
	c.Assert(documented, qt.DeepEquals, slices.Compact(exist))
}
