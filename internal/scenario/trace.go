package scenario

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"chuteweir.example/chuteweir/rules"
)

// traceHead is the first line of a file of recorded traffic.
var traceHead = []string{"at_ms", "destination", "grade", "portfolio", "key", "body"}

// Recorded is a notice of recorded traffic, by names.
type Recorded struct {
	At               rules.Millis
	Destination      int
	Grade, Portfolio string
	Key, Body        int
}

// WriteTrace writes recorded traffic, which must be in the order of its times.
func WriteTrace(out io.Writer, notices []Recorded) error {
	w := csv.NewWriter(out)
	w.Write(traceHead)
	for _, n := range notices {
		w.Write([]string{strconv.FormatFloat(float64(n.At), 'f', 3, 64), strconv.Itoa(n.Destination), n.Grade, n.Portfolio,
			strconv.Itoa(n.Key), strconv.Itoa(n.Body)})
	}
	w.Flush()
	return w.Error()
}

// readTrace reads recorded traffic for a scenario. The path counts from the scenario's own folder.
func (s *Scenario) readTrace(from, path string) error {
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(from), path)
	}
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("reading the trace: %w", err)
	}
	defer f.Close()
	in := csv.NewReader(f)
	in.FieldsPerRecord = len(traceHead)
	head, err := in.Read()
	if err != nil || !slices.Equal(head, traceHead) {
		return fmt.Errorf("%s:1: the first line must be %v", path, traceHead)
	}
	destinations := 0
	for _, g := range s.Groups {
		destinations += g.Destinations
	}
	last := rules.Millis(0)
	for {
		fields, err := in.Read()
		if errors.Is(err, io.EOF) {
			if len(s.Trace) == 0 {
				return fmt.Errorf("%s: no notices", path)
			}
			return nil
		}
		line, _ := in.FieldPos(0)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		wrong := func(field int, right string) error {
			return fmt.Errorf("%s:%d: %s: %q; right would be %s", path, line, traceHead[field], fields[field], right)
		}
		at, err := strconv.ParseFloat(fields[0], 64)
		if err != nil || !(rules.Millis(at) >= last) {
			return wrong(0, fmt.Sprintf("milliseconds, not before %.3f", last))
		}
		a := Arrival{At: rules.Millis(at)}
		last = a.At
		if a.Destination, err = strconv.Atoi(fields[1]); err != nil || a.Destination < 1 || a.Destination > destinations {
			return wrong(1, fmt.Sprintf("a number from 1 to %d, the scenario's destinations", destinations))
		}
		if a.Grade = slices.Index(s.Names.Grades, fields[2]); a.Grade < 0 {
			return wrong(2, fmt.Sprintf("one of %v", s.Names.Grades))
		}
		if a.Portfolio = max(slices.Index(s.Names.Portfolios, fields[3]), 0); fields[3] != "" && !slices.Contains(s.Names.Portfolios, fields[3]) {
			return wrong(3, fmt.Sprintf("one of %v, or nothing", s.Names.Portfolios))
		}
		if a.Key, err = strconv.Atoi(fields[4]); err != nil || a.Key < 0 {
			return wrong(4, "a number, 0 for none")
		}
		if a.Body, err = strconv.Atoi(fields[5]); err != nil || a.Body < 0 || a.Body > 65_536 {
			return wrong(5, "bytes, at most 65536")
		}
		s.Trace = append(s.Trace, a)
	}
}
