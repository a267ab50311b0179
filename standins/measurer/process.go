// Package measurer measures what processes cost at several sizes and fits a
// slope to it.
package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// clockTicks is the unit of processor time in /proc, per second. It is 100 on
// every Linux that Go supports.
const clockTicks = 100

// Usage is what a process has used since its start.
type Usage struct {
	// CPU is the processor time.
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
	// Bytes is what the process has read and written, sockets included.
	Bytes int64
}

// Read returns the usage of the process with the given id.
func Read(pid int) (Usage, error) {
	var u Usage
	statLine, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Wrap(err, "process")
	}
	// The command's name, in parentheses, may have spaces.
	fields := strings.Fields(string(statLine[strings.LastIndexByte(string(statLine), ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	ticks := number(fields[userField]) + number(fields[systemField])
	u.CPU = time.Duration(ticks) * time.Second / clockTicks
	u.Memory = number(fields[residentField]) * int64(os.Getpagesize())
	counters, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, errors.Wrap(err, "process")
	}
	for line := range strings.Lines(string(counters)) {
		name, value, _ := strings.Cut(line, ":")
		if name == "rchar" || name == "wchar" {
			u.Bytes += number(strings.TrimSpace(value))
		}
	}
	return u, nil
}

func number(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

// Rate is what a process uses in a second, and the memory it holds.
type Rate struct {
	// CPU is the share of one core, 1 for a whole core.
	CPU    float64
	Memory float64
	Bytes  float64
}

// Between returns the rate between two readings that are d apart.
func Between(a, b Usage, d time.Duration) Rate {
	return Rate{
		CPU:    float64(b.CPU-a.CPU) / float64(d),
		Memory: float64(b.Memory),
		Bytes:  float64(b.Bytes-a.Bytes) / d.Seconds(),
	}
}

// Line is a straight line fitted to measurements.
type Line struct {
	// Base is the value at size zero and Slope the growth for each unit.
	Base, Slope float64
	// Fit is the coefficient of determination, 1 for a perfect line.
	Fit float64
}

// Fit returns the line through the values at the sizes, by least squares.
func Fit(sizes, values []float64) Line {
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	return Line{base, slope, stat.RSquared(sizes, values, nil, base, slope)}
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }
