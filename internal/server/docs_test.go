package server

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

// documented returns what matches form in a section of the operations page,
// each once and sorted.
func documented(c *qt.C, section string, form *regexp.Regexp) []string {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "\n## "+section+"\n")
	c.Assert(found, qt.IsTrue)
	text, _, _ := strings.Cut(rest, "\n## ")
	return unique(form, text)
}

func unique(form *regexp.Regexp, text string) []string {
	var names []string
	for _, m := range form.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestDocumentedMetrics guards against a metric that the page does not name,
// and against one that the page names and that does not exist.
func TestDocumentedMetrics(t *testing.T) {
	c := qt.New(t)
	settings, err := testSettings().check()
	c.Assert(err, qt.IsNil)
	registry := prometheus.NewRegistry()
	_, err = assemble(settings, os.Stderr, registry, platform{})
	c.Assert(err, qt.IsNil)
	descriptions := make(chan *prometheus.Desc, 1000)
	registry.Describe(descriptions)
	close(descriptions)
	var all strings.Builder
	for d := range descriptions {
		all.WriteString(d.String() + "\n")
	}
	exist := unique(regexp.MustCompile(`fqName: "([^"]+)"`), all.String())
	form := regexp.MustCompile(`^tarragond_[a-z]+(_[a-z]+)*$`)
	for _, name := range exist {
		c.Check(form.MatchString(name), qt.IsTrue, qt.Commentf("%s is not in snake case", name))
	}
	c.Assert(documented(c, "Metrics", regexp.MustCompile("`(tarragond_[a-z_]+)`")), qt.DeepEquals, exist)
}

// TestDocumentedLogPrefixes guards against a log line without the prefix of its
// part.
func TestDocumentedLogPrefixes(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob(filepath.Join("..", "*", "*.go"))
	c.Assert(err, qt.IsNil)
	message := regexp.MustCompile(`\.Msgf?\("([^"]*)"`)
	prefix := regexp.MustCompile(`^([a-z]+:) `)
	var exist []string
	for _, f := range files {
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		for _, m := range message.FindAllStringSubmatch(string(text), -1) {
			p := prefix.FindStringSubmatch(m[1])
			c.Assert(p, qt.IsNotNil, qt.Commentf("%s: %q has no prefix", f, m[1]))
			exist = append(exist, p[1])
		}
	}
	slices.Sort(exist)
	c.Assert(documented(c, "Log prefixes", regexp.MustCompile("\\| `([a-z]+:)` \\|")), qt.DeepEquals, slices.Compact(exist))
}
