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

// documentedNames returns the names that match pattern in a section of the
// operations page.
func documentedNames(c *qt.C, section string, pattern *regexp.Regexp) []string {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	c.Assert(err, qt.IsNil)
	_, rest, found := strings.Cut(string(page), "\n## "+section+"\n")
	c.Assert(found, qt.IsTrue)
	text, _, _ := strings.Cut(rest, "\n## ")
	return uniqueMatches(pattern, text)
}

// uniqueMatches returns the first group of each match of pattern in text,
// sorted and without duplicates.
func uniqueMatches(pattern *regexp.Regexp, text string) []string {
	var names []string
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		names = append(names, m[1])
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// TestDocumentedMetrics guards against a metric that the operations page does
// not name, and against a name on the page without a metric.
func TestDocumentedMetrics(t *testing.T) {
	c := qt.New(t)
	settings, err := testSettings().parse()
	c.Assert(err, qt.IsNil)
	registry := prometheus.NewRegistry()
	_, err = newServer(settings, os.Stderr, registry, platform{})
	c.Assert(err, qt.IsNil)
	descriptions := make(chan *prometheus.Desc, 1000)
	registry.Describe(descriptions)
	close(descriptions)
	var all strings.Builder
	for d := range descriptions {
		all.WriteString(d.String() + "\n")
	}
	actual := uniqueMatches(regexp.MustCompile(`fqName: "([^"]+)"`), all.String())
	pattern := regexp.MustCompile(`^tarragond_[a-z]+(_[a-z]+)*$`)
	for _, name := range actual {
		c.Check(pattern.MatchString(name), qt.IsTrue, qt.Commentf("%s is not in snake case", name))
	}
	c.Assert(documentedNames(c, "Metrics", regexp.MustCompile("`(tarragond_[a-z_]+)`")), qt.DeepEquals, actual)
}

// TestDocumentedLogPrefixes guards against a log message without the prefix of
// its component, and against prefixes that differ from those on the operations
// page.
func TestDocumentedLogPrefixes(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob(filepath.Join("..", "*", "*.go"))
	c.Assert(err, qt.IsNil)
	message := regexp.MustCompile(`\.Msgf?\("([^"]*)"`)
	prefix := regexp.MustCompile(`^([a-z]+:) `)
	var actual []string
	for _, f := range files {
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		for _, m := range message.FindAllStringSubmatch(string(text), -1) {
			p := prefix.FindStringSubmatch(m[1])
			c.Assert(p, qt.IsNotNil, qt.Commentf("%s: %q has no prefix", f, m[1]))
			actual = append(actual, p[1])
		}
	}
	slices.Sort(actual)
	c.Assert(documentedNames(c, "Log prefixes", regexp.MustCompile("\\| `([a-z]+:)` \\|")), qt.DeepEquals, slices.Compact(actual))
}
